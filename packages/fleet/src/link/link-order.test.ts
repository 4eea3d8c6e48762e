import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { connect } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { CallMethod, NotificationMethod } from '../messages.ts';
import { FrameDecoder, FrameEncoder } from './frame-codec.ts';
import { createLinkTraffic, Link } from './link.ts';

/** Starts a server that answers every call with its result and a notification in a single write. */
async function startAnsweringServer(): Promise<Server> {
  const server = createServer((socket) => {
    const decoder = new FrameDecoder();
    const encoder = new FrameEncoder();
    socket.on('data', (bytes: Buffer) => {
      for (const { value } of decoder.push(bytes)) {
        const { id } = value as { id?: number };
        if (id === undefined) continue;
        const lines = [{ pool: 'p', workspace: 'w', pinned: false, count: 1 }];
        const response = encoder.encode({ jsonrpc: '2.0', id, result: {} });
        const params = { full: false, lines };
        const notification = encoder.encode({
          jsonrpc: '2.0',
          method: NotificationMethod.Backlog,
          params,
        });
        socket.write(Buffer.concat([response, notification]));
      }
    });
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

describe('Link', () => {
  it('delivers a response before a notification that follows it in the same chunk', async () => {
    const server = await startAnsweringServer();
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    await once(socket, 'connect');
    const link = new Link({
      socket,
      clock: new SystemClock(),
      log: createLogger({ level: LogLevel.Silent }),
      traffic: createLinkTraffic(),
      onClose: () => undefined,
    });
    const order: string[] = [];
    const notificationReceived = new Promise<void>((resolve) => {
      link.handleNotification(NotificationMethod.Backlog, () => {
        order.push('notification');
        resolve();
      });
    });
    const responseReceived = link
      .call(CallMethod.Claim, { lines: [] })
      .then(() => order.push('response'));
    await Promise.all([notificationReceived, responseReceived]);
    expect(order).to.deep.equal(['response', 'notification']);
    link.close('done');
    server.close();
  });
});
