import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { createLogger, LogLevel, Role, NoopMetrics, SystemClock } from '@poplarpick/kernel';
import { CallMethod } from '../messages.ts';
import { PlainTransport } from '../trust/transport.ts';
import { FrameEncoder } from './frame-codec.ts';
import { createLinkTraffic } from './link.ts';
import { LinkHub } from './link-hub.ts';

describe('LinkHub', () => {
  let hub: LinkHub;
  let server: Server;
  let fetches = 0;

  before(async () => {
    const log = createLogger({ level: LogLevel.Silent });
    const hello = {
      fleet: 'ours',
      host: 'entry-1',
      role: Role.Router,
      dataCentre: 'ct1',
      incarnation: '1',
    };
    hub = new LinkHub({
      hello,
      clock: new SystemClock(),
      log,
      metrics: new NoopMetrics(),
      traffic: createLinkTraffic(),
      transport: new PlainTransport(),
    });
    hub.onLink((link) =>
      link.handleCall(CallMethod.FetchConfiguration, () => {
        fetches += 1;
        return { version: { revision: 0, digest: '' } };
      }),
    );
    server = createServer((socket) => hub.accept(socket));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  after(() => {
    hub.close();
    server.close();
  });

  /** Sends a call, waits until the hub closes the link, and returns the bytes that the hub sent. */
  async function sendUntilClosed(method: CallMethod, params: object): Promise<string> {
    const { port } = server.address() as AddressInfo;
    const socket: Socket = connect({ host: '127.0.0.1', port });
    const chunks: Buffer[] = [];
    socket.on('data', (bytes: Buffer) => chunks.push(bytes));
    socket.write(new FrameEncoder().encode({ jsonrpc: '2.0', id: 1, method, params }));
    await new Promise<void>((resolve) => socket.once('close', () => resolve()));
    return Buffer.concat(chunks).toString('latin1');
  }

  it('closes a link on which anything comes before the hello, and answers nothing', async () => {
    const sent = await sendUntilClosed(CallMethod.FetchConfiguration, { revision: 0, digest: '' });
    expect(sent).to.equal('');
    expect(fetches).to.equal(0);
  });

  it('tells a process of another fleet why it is refused, then closes the link', async () => {
    const hello = { fleet: 'theirs', host: 'h', role: Role.Sidecar, dataCentre: 'x' };
    const sent = await sendUntilClosed(CallMethod.Hello, { ...hello, incarnation: '2' });
    expect(sent).to.contain('fleet theirs is not ours');
    expect(hub.peers()).to.deep.equal([]);
  });
});
