import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import { stopListening } from '../http-gateway.ts';
import { OpenExchanges } from './open-exchanges.ts';

const LIMIT_MS = 300;
/** More than the buffers of the system hold. */
const LARGE_ANSWER = 'a'.repeat(12_000_000);
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n';

describe('the open requests of a router that stops', () => {
  for (const [name, bytes, isRead, answer] of [
    ['never sends its whole request', `${HEAD}a`, true, 408],
    ['never reads its answer', `${HEAD}ab`, false, 200],
  ] as const) {
    it(`are not held open for good by a caller that ${name}`, async () => {
      const exchanges = new OpenExchanges({
        clock: new SystemClock(),
        unreadLimitMs: LIMIT_MS,
      });
      const limits = { requestTimeout: LIMIT_MS, connectionsCheckingInterval: 50 };
      const server = createServer({ ...limits, headersTimeout: LIMIT_MS }, (request, response) => {
        exchanges.add(response);
        request.resume().once('end', () => response.end(LARGE_ANSWER));
        request.once('error', () => undefined);
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1' });
      let received = '';
      socket.on('error', () => undefined);
      socket.on('data', (data) => (received += data.toString('latin1')));
      if (!isRead) socket.once('data', () => socket.pause());
      socket.write(bytes);
      await once(server, 'request');
      stopListening(server);
      exchanges.beginLimit();
      const startedAt = performance.now();
      await exchanges.waitUntilIdle();
      exchanges.endLimit();
      expect(performance.now() - startedAt).to.be.greaterThan(LIMIT_MS - 50);
      socket.destroy();
      expect(received).to.match(new RegExp(`^HTTP/1.1 ${answer} `));
    });
  }
});
