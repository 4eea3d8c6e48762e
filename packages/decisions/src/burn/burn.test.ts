import { expect } from 'chai';
import fc from 'fast-check';
import { BURN_WINDOWS_MS, BurnAlert, computeBurnRate, evaluateBurn } from './burn-rate.ts';
import { EventCountRing } from './event-count-ring.ts';
import { mergeObjectives, Objective, objectivesSchema, findTarget } from './service-objectives.ts';

const MINUTE_MS = 60_000;

describe('computeBurnRate', () => {
  it('is 1 when exactly the budget is consumed, and 0 without events', () => {
    expect(computeBurnRate({ good: 95, total: 100 }, 0.95)).to.be.closeTo(1, 1e-9);
    expect(computeBurnRate({ good: 0, total: 0 }, 0.95)).to.equal(0);
  });
});

describe('evaluateBurn', () => {
  const burning = { good: 0, total: 100 };
  const quiet = { good: 100, total: 100 };

  it('pages when the hour and the last five minutes burn', () => {
    expect(evaluateBurn([burning, burning, burning, burning], 0.95).alert).to.equal(BurnAlert.Page);
  });

  it('does not page for a burn that is over, nor for one that has just begun', () => {
    expect(evaluateBurn([quiet, quiet, burning, quiet], 0.95).alert).to.equal(BurnAlert.None);
    expect(evaluateBurn([burning, quiet, quiet, quiet], 0.95).alert).to.equal(BurnAlert.None);
  });

  it('raises a ticket for a slow burn over six hours', () => {
    const slow = { good: 93, total: 100 };
    expect(evaluateBurn([slow, slow, slow, slow], 0.99).alert).to.equal(BurnAlert.Ticket);
  });

  it('reports a negative budget when it is exceeded', () => {
    const counts = BURN_WINDOWS_MS.map(() => ({ good: 90, total: 100 }));
    expect(evaluateBurn(counts, 0.95).budgetLeft).to.be.closeTo(-1, 1e-9);
  });
});

describe('EventCountRing', () => {
  it('sums the same counts as a plain list of events, for any events in order', () => {
    const events = fc.array(fc.record({ step: fc.nat(200_000), good: fc.boolean() }), {
      maxLength: 60,
    });
    fc.assert(
      fc.property(events, fc.nat(12), (eventList, windows) => {
        const ring = new EventCountRing({ bucketMs: MINUTE_MS, buckets: 10 });
        let now = 1_700_000_000_000;
        const recorded = eventList.map(({ step, good }) => {
          now += step;
          ring.add(now, Objective.Completed, good);
          return { at: now, good };
        });
        const windowMs = Math.min(windows, 10) * MINUTE_MS;
        const from = (Math.floor(now / MINUTE_MS) + 1) * MINUTE_MS - windowMs;
        const expected = recorded.filter(({ at }) => at >= from);
        expect(ring.sum(now, windowMs, Objective.Completed)).to.deep.equal({
          good: expected.filter(({ good }) => good).length,
          total: expected.length,
        });
        expect(ring.sum(now, windowMs, Objective.Refusals).total).to.equal(0);
      }),
      { seed: 11 },
    );
  });

  it('lists its buckets, the oldest first', () => {
    const ring = new EventCountRing({ bucketMs: MINUTE_MS, buckets: 3 });
    for (const minute of [4, 5, 6, 7]) ring.add(minute * MINUTE_MS, Objective.TokenGap, true);
    const starts = ring.listBuckets(7 * MINUTE_MS, 60 * MINUTE_MS).map(({ startMs }) => startMs);
    expect(starts).to.deep.equal([5, 6, 7].map((minute) => minute * MINUTE_MS));
  });
});

describe('mergeObjectives', () => {
  it('applies the overrides of a workspace and the defaults for the rest', () => {
    const merged = mergeObjectives(objectivesSchema.parse({}), { first_token_ms: 300 });
    expect(merged.first_token_ms).to.equal(300);
    expect(merged.token_gap_ms).to.equal(58);
    expect(findTarget(merged, Objective.Completed)).to.equal(0.999);
  });
});
