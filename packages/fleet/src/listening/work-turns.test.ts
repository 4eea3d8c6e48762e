import { expect } from 'chai';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { WorkTurns } from './work-turns.ts';

const BUSY_MS = 12;

describe('the turns of the event loop', () => {
  it('give each connection that has much to parse its time, in the order in which they came', async () => {
    const turns = new WorkTurns();
    const served: string[] = [];
    const left = new Map([
      ['a', 3],
      ['b', 3],
      ['c', 3],
    ]);
    const work = (name: string): void => {
      if (!turns.hasTime) {
        turns.wait(() => queueMicrotask(() => work(name)), { hadNoTime: true });
        return;
      }
      blockLoop(BUSY_MS);
      served.push(name);
      const rest = (left.get(name) ?? 0) - 1;
      left.set(name, rest);
      if (rest > 0) turns.wait(() => queueMicrotask(() => work(name)), { hadNoTime: false });
    };
    for (const name of left.keys()) work(name);
    while (served.length < 9) await new Promise(setImmediate);
    expect(served.join('')).to.equal('abcabcabc');
  });
});
