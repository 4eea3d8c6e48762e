import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { DatagramPair } from '@poplarpick/stand-ins';
import { PendingOrigins } from './pending-origins.ts';

const LIMIT_MS = 50;

describe('origins that are being proved', () => {
  it('count as proved if what settles them lies in the socket after a stall', async () => {
    const pending = new PendingOrigins(new SystemClock());
    const settle = pending.begin({ byRequest: 1, byPrompt: 2 });
    const pair = await DatagramPair.open(settle);
    try {
      const isSettled = pending.waitFor(1, LIMIT_MS);
      pair.send('proof');
      blockLoop(LIMIT_MS + 100);
      expect(await isSettled).to.equal(true);
    } finally {
      pair.close();
    }
  });
});
