import { expect } from 'chai';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { ProcessListeners } from './process-listeners.ts';

const REFUSED_HEAD = 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n';
const NO_CHUNK = 'no length of a chunk\r\n';

describe('a guarded HTTP server', () => {
  it('parses no body behind a head that it refuses', async () => {
    const log = createLogger({ level: LogLevel.Silent });
    const clock = new SystemClock();
    const listeners = new ProcessListeners({ clock, log, budgetBytes: 1_000_000 });
    const guard = listeners.guard({ name: 'tested', maxConnections: 10 });
    const server = guard.createHttpServer({}, () => expect.fail('the request is refused'));
    let parserErrors = 0;
    server.on('clientError', () => (parserErrors += 1));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    try {
      socket.write(REFUSED_HEAD + NO_CHUNK);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      expect(answer.toString()).to.match(/^HTTP\/1\.1 400 /);
      expect(parserErrors).to.equal(0);
    } finally {
      socket.destroy();
      server.close();
    }
  });
});
