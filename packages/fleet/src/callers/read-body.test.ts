import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { RequestError, SystemClock } from '@poplarpick/kernel';
import { MemoryBudget } from '../listening/memory-budget.ts';
import { readBody } from './read-body.ts';

const LIMIT_BYTES = 1_000_000;
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

function buildRequest(bytes: number): string {
  return `${HEAD}${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n${LAST_CHUNK}`;
}

describe('the body of a request', () => {
  it('does not keep the next request from being read if it is over the limit', async () => {
    const budget = new MemoryBudget({ budgetBytes: 1e9, clock: new SystemClock() });
    const server = createServer((request, response) => {
      const options = { response, limitBytes: LIMIT_BYTES, budget, owner: 'space' };
      readBody(request, options).then(
        (body) => response.end(`read ${body.length}`),
        (error: unknown) => response.end(error instanceof RequestError ? error.code : 'failed'),
      );
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1' });
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.write(buildRequest(3 * LIMIT_BYTES) + buildRequest(5));
    const deadline = Date.now() + 5_000;
    while (!received.includes('read 5') && Date.now() < deadline) await once(socket, 'data');
    socket.destroy();
    server.close();
    expect(received).to.match(/body_too_large[^]*read 5/);
  });
});
