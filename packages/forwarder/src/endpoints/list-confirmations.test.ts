import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { DatagramPair } from '@poplarpick/stand-ins';
import { ListConfirmations } from './list-confirmations.ts';

const LONG_MS = 10_000;
const SHORT_MS = 10;

describe('confirmations of a list', () => {
  let confirmations: ListConfirmations;
  let wanted: number;

  beforeEach(() => {
    confirmations = new ListConfirmations({ clock: new SystemClock() });
    wanted = 0;
    confirmations.onWanted(() => (wanted += 1));
  });

  it('are there at once if the list was complete at the time, and nothing is asked for', async () => {
    confirmations.record(5);
    expect(await confirmations.waitSince(5, LONG_MS)).to.equal(true);
    expect(wanted).to.equal(0);
  });

  it('are asked for, and awaited until one is late enough', async () => {
    const isConfirmed = confirmations.waitSince(10, LONG_MS);
    expect(wanted).to.equal(1);
    confirmations.record(9);
    confirmations.record(10);
    expect(await isConfirmed).to.equal(true);
  });

  it('are not awaited any longer than that', async () => {
    const isConfirmed = confirmations.waitSince(10, SHORT_MS);
    confirmations.record(9);
    expect(await isConfirmed).to.equal(false);
  });

  it('count if they lie in the socket after a stall', async () => {
    const pair = await DatagramPair.open(() => confirmations.record(10));
    try {
      const isConfirmed = confirmations.waitSince(10, SHORT_MS);
      pair.send('confirmed');
      blockLoop(SHORT_MS + 100);
      expect(await isConfirmed).to.equal(true);
    } finally {
      pair.close();
    }
  });
});
