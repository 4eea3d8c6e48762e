import { expect } from 'chai';
import fc from 'fast-check';
import { BacklogView } from './backlog-view.ts';

const SEED = 20261203;
const QUEUE = { pool: 'assistant', workspace: 'a', pinned: false };

describe('BacklogView', () => {
  it('keeps the count that was sent last, whichever arrives first', () => {
    const view = new BacklogView();
    view.update('r1', { full: false, sequence: 1, lines: [{ ...QUEUE, count: 1 }] });
    // The router granted the request (2), then queued another (3). Notification 3 is handled first.
    view.update('r1', { full: false, sequence: 3, lines: [{ ...QUEUE, count: 1 }] });
    view.setCount('r1', QUEUE, 0, 2);
    expect(view.hasWaiting('a')).to.equal(true);
  });

  it('ignores an answer that is older than the full backlog', () => {
    const view = new BacklogView();
    view.update('r1', { full: true, sequence: 5, lines: [] });
    view.setCount('r1', QUEUE, 4, 3);
    expect(view.hasWaiting('a')).to.equal(false);
  });

  it('ends with the count that was sent last under any order of arrival', () => {
    const updateLists = fc.array(fc.record({ count: fc.nat(5), rank: fc.nat(1_000) }), {
      minLength: 1,
    });
    fc.assert(
      fc.property(updateLists, (updates) => {
        const view = new BacklogView();
        const arrivals = updates
          .map(({ count, rank }, sequence) => ({ count, rank, sequence }))
          .sort((a, b) => a.rank - b.rank);
        for (const { count, sequence } of arrivals) view.setCount('r1', QUEUE, count, sequence);
        expect(view.countUnclaimed('r1', 'a')).to.equal(updates.at(-1)?.count);
      }),
      { seed: SEED },
    );
  });

  it('accepts lower sequence numbers from a router that was removed and returns', () => {
    const view = new BacklogView();
    view.update('r1', { full: true, sequence: 90, lines: [{ ...QUEUE, count: 1 }] });
    view.removeRouter('r1');
    view.update('r1', { full: true, sequence: 1, lines: [{ ...QUEUE, count: 2 }] });
    expect(view.countUnclaimed('r1', 'a')).to.equal(2);
  });
});
