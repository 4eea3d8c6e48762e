import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { connect } from 'node:net';
import { once } from 'node:events';
import { expect } from 'chai';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { CallMethod, NotificationMethod } from '../messages.ts';
import { FrameDecoder, FrameEncoder } from './frame-codec.ts';
import { createLinkTraffic, Link } from './link.ts';

/** Answers the first call with its result and a notice, both in one write. */
async function listenAndAnswer(): Promise<Server> {
  const server = createServer((socket) => {
    const decoder = new FrameDecoder();
    const encoder = new FrameEncoder();
    socket.on('data', (bytes: Buffer) => {
      for (const { value } of decoder.push(bytes)) {
        const { id } = value as { id?: number };
        if (id === undefined) continue;
        const lines = [{ pool: 'p', workspace: 'w', pinned: false, count: 1 }];
        const answer = encoder.encode({ jsonrpc: '2.0', id, result: {} });
        const params = { full: false, lines };
        const notice = encoder.encode({
          jsonrpc: '2.0',
          method: NotificationMethod.Backlog,
          params,
        });
        socket.write(Buffer.concat([answer, notice]));
      }
    });
    socket.on('error', () => undefined);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

describe('Link', () => {
  it('hands an answer on before a notice that came after it in the same bytes', async () => {
    const server = await listenAndAnswer();
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
    const noticed = new Promise<void>((resolve) => {
      link.handleNotification(NotificationMethod.Backlog, () => {
        order.push('notice');
        resolve();
      });
    });
    const answered = link.call(CallMethod.Claim, { lines: [] }).then(() => order.push('answer'));
    await Promise.all([noticed, answered]);
    expect(order).to.deep.equal(['answer', 'notice']);
    link.close('done');
    server.close();
  });
});
