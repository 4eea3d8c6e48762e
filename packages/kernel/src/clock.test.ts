import { expect } from 'chai';
import { blockLoop } from './testing/block-loop.ts';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { SystemClock } from './clock.ts';

const LIMIT_MS = 50;

describe('SystemClock', () => {
  it('reads what has come during a stall before it concludes that nothing has', async () => {
    const clock = new SystemClock();
    const receiver = createSocket('udp4').bind(0, '127.0.0.1');
    const sender = createSocket('udp4').bind(0, '127.0.0.1');
    await Promise.all([once(receiver, 'listening'), once(sender, 'listening')]);
    sender.connect(receiver.address().port, '127.0.0.1');
    await once(sender, 'connect');
    try {
      let received = 0;
      receiver.on('message', () => (received += 1));
      const seen = new Promise<number>((resolve) => {
        clock.afterPoll(LIMIT_MS, () => resolve(received));
      });
      sender.send('answer');
      blockLoop(LIMIT_MS + 100);
      expect(await seen).to.equal(1);
    } finally {
      receiver.close();
      sender.close();
    }
  });

  it('runs nothing after its timer was stopped, even while the sockets are read', async () => {
    const clock = new SystemClock();
    let runs = 0;
    const timer = clock.afterPoll(1, () => (runs += 1));
    clock.after(1, () => timer.stop());
    blockLoop(10);
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(runs).to.equal(0);
  });
});
