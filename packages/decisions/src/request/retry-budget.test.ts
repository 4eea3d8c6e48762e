import { expect } from 'chai';
import fc from 'fast-check';
import { computeRetryDelayMs, RetryBudget } from './retry-budget.ts';

describe('RetryBudget', () => {
  it('keeps attempts within 1.1 times the requests', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(3)), (retriesWanted) => {
        const budget = new RetryBudget();
        let attempts = 0;
        for (const wanted of retriesWanted) {
          budget.recordRequest();
          attempts += 1;
          for (let retry = 0; retry < wanted; retry += 1) attempts += budget.tryAcquire() ? 1 : 0;
        }
        expect(attempts).to.be.at.most(1.1 * retriesWanted.length + 1e-6);
      }),
    );
  });

  it('doubles the delay with each attempt, up to a limit', () => {
    expect([1, 2, 3, 12].map((attempts) => computeRetryDelayMs(attempts, 0.5))).to.deep.equal([
      50, 100, 200, 1_000,
    ]);
    expect(computeRetryDelayMs(1, 0)).to.equal(25);
  });
});
