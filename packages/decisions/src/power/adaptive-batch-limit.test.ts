import { expect } from 'chai';
import fc from 'fast-check';
import { AdaptiveBatchLimit, TOKEN_GAP_TARGET_MS } from './adaptive-batch-limit.ts';

/** Number of reports by which a report lags behind a change of the limit. */
const LAG_REPORTS = 3;

describe('AdaptiveBatchLimit', () => {
  it('converges to a batch within the target, and not far below, from lagging reports', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 1, max: 40, noNaN: true }),
        fc.double({ min: 0.2, max: 10, noNaN: true }),
        fc.integer({ min: 2, max: 128 }),
        (baseMs, perSequenceMs, maximum) => {
          const computeStepMs = (running: number): number => baseMs + perSequenceMs * (running - 1);
          const limit = new AdaptiveBatchLimit({ maximum });
          const batches: number[] = [];
          for (let round = 0; round < 400; round += 1) {
            batches.push(limit.limit);
            const running = batches[round - LAG_REPORTS];
            if (running !== undefined) limit.observe({ running, stepMs: computeStepMs(running) });
          }
          expect(computeStepMs(limit.limit)).to.be.at.most(TOKEN_GAP_TARGET_MS);
          const isNearTarget = computeStepMs(limit.limit + 2) > TOKEN_GAP_TARGET_MS * 0.8;
          expect(isNearTarget || limit.limit >= maximum - 1).to.equal(true);
        },
      ),
      { seed: 4 },
    );
  });

  it('never exceeds the configured maximum, nor goes below one', () => {
    const limit = new AdaptiveBatchLimit({ maximum: 4 });
    for (let round = 0; round < 10; round += 1) limit.observe({ running: 4, stepMs: 10 });
    expect(limit.limit).to.equal(4);
    for (let round = 0; round < 10; round += 1)
      limit.observe({ running: limit.limit, stepMs: 500 });
    expect(limit.limit).to.equal(1);
  });

  it('ignores a batch that is still shrinking', () => {
    const limit = new AdaptiveBatchLimit({ maximum: 8 });
    limit.observe({ running: 8, stepMs: 100 });
    const loweredLimit = limit.limit;
    limit.observe({ running: 8, stepMs: 100 });
    expect(limit.limit).to.equal(loweredLimit);
  });
});
