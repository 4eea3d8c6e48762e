import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import { LARGE_ANSWER_BYTES } from './bounded-body.ts';
import { EngineControlClient } from './orders/engine-control-client.ts';
import { ConfigurationClient } from './platform/configuration-client.ts';
import { fetchHosts } from './platform/host-list-client.ts';
import { LoadPoller } from './sidecar/load-poller.ts';

const MEBIBYTE = 1_048_576;
/** What the buffers of both kernels hold beside an answer. */
const BUFFERED_BYTES = 16 * MEBIBYTE;
const FILLER = Buffer.alloc(65_536, 'x');
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';

/** Beginnings of answers that never end. */
const BEGINNINGS = {
  'a body without a length': `${HEAD}\r\n{"a":"`,
  'a body with a length': `${HEAD}Content-Length: 99999999999\r\n\r\n{"a":"`,
};

describe('an answer without end', () => {
  const sockets = new Set<Socket>();
  let server: Server;
  let url: string;
  let beginning: string;
  let sentBytes: number;
  let closed: Promise<void>;

  beforeEach(async () => {
    sentBytes = 0;
    closed = new Promise((resolve) => {
      server = createServer((socket) => {
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.once('close', resolve);
        socket.once('data', () => {
          socket.write(beginning);
          send(socket);
        });
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await new Promise((resolve) => server.close(resolve));
  });

  function send(socket: Socket): void {
    if (socket.destroyed) return;
    socket.write(FILLER, (error) => {
      if (error) return;
      sentBytes += FILLER.length;
      // Enough to show that the answer is kept whole, without filling the memory of the test.
      if (sentBytes < 8 * LARGE_ANSWER_BYTES) setImmediate(() => send(socket));
      else socket.destroy();
    });
  }

  const readers: Record<string, () => Promise<unknown>> = {
    'the list of hosts': () => fetchHosts(url),
    'the configuration': () =>
      new ConfigurationClient(url).readNewer(0, new AbortController().signal),
    "an engine's state": () => new EngineControlClient(url).readState(),
  };

  for (const [name, read] of Object.entries(readers)) {
    for (const [form, text] of Object.entries(BEGINNINGS)) {
      // Guards against a process that keeps whatever a faulty system sends, and ends for lack of memory.
      it(`ends in an error at the limit, and its connection is closed: ${name}, ${form}`, async () => {
        beginning = text;
        const error: unknown = await read().then(
          () => undefined,
          (reason: unknown) => reason,
        );
        expect(error).to.be.instanceOf(Error);
        await closed;
        expect(sentBytes).to.be.below(LARGE_ANSWER_BYTES + BUFFERED_BYTES);
      });
    }
  }

  it('leaves the load of an endpoint unknown', async () => {
    beginning = BEGINNINGS['a body without a length'];
    const lines: string[] = [];
    const write = (line: string): unknown => lines.push(line);
    const poller = new LoadPoller({
      url,
      clock: new SystemClock(),
      log: createLogger({ level: LogLevel.Info, write }),
      onReport: () => undefined,
    });
    await closed;
    await poller.stop();
    expect(lines.join('\n')).to.include('endpoint.load_unknown');
    expect(sentBytes).to.be.below(LARGE_ANSWER_BYTES + BUFFERED_BYTES);
  });
});
