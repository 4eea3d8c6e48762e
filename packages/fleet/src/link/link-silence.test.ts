import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { NotificationMethod } from '../messages.ts';
import { FrameEncoder } from './frame-codec.ts';
import { createLinkTraffic, HEARTBEAT_TIMEOUT_MS, Link } from './link.ts';

/** Time in which pending bytes and timers of an event loop that goes on are handled, in ms. */
const SETTLE_MS = 100;

describe('a link whose own process was suspended', () => {
  let server: Server;
  let peer: Socket;
  let socket: Socket;

  beforeEach(async () => {
    server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const accepted = once(server, 'connection');
    peer = connect((server.address() as AddressInfo).port, '127.0.0.1');
    peer.on('error', () => undefined);
    [socket] = (await accepted) as [Socket];
  });

  afterEach(async () => {
    peer.destroy();
    socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });

  it('stays open when the peer has sent heartbeats meanwhile', async () => {
    const reasons: string[] = [];
    const link = new Link({
      socket,
      clock: new SystemClock(),
      log: createLogger({ host: 'a', level: LogLevel.Error, write: () => undefined }),
      traffic: createLinkTraffic(),
      onClose: (_link, reason) => reasons.push(reason),
    });
    const heartbeat = { jsonrpc: '2.0', method: NotificationMethod.Heartbeat, params: {} } as const;
    peer.write(new FrameEncoder().encode(heartbeat));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HEARTBEAT_TIMEOUT_MS + SETTLE_MS);
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    expect(reasons).to.deep.equal([]);
    link.close('done');
  });
});
