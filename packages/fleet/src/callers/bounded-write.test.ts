import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { MAX_CALLER_BUFFER_BYTES, writeBounded } from './bounded-write.ts';

describe('writeBounded', () => {
  it('disconnects a caller that does not read, with a bounded buffer', async () => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nhost: router\r\n\r\n');
    const [, response] = (await once(server, 'request')) as [unknown, ServerResponse];
    const part = Buffer.alloc(256 * 1024);
    let most = 0;
    for (let count = 0; count < 200 && !response.destroyed; count += 1) {
      writeBounded(response, part);
      most = Math.max(most, response.writableLength);
    }
    expect(response.destroyed).to.equal(true);
    expect(most).to.be.at.most(MAX_CALLER_BUFFER_BYTES + 2 * part.length);
    caller.destroy();
    server.close();
  });
});
