import { expect } from 'chai';
import { SharedRetryBudget } from './shared-retry-budget.ts';

const OPTIONS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Largest number of retries in any window if every request fails at every router. */
function maxRetriesInWindow(routers: number, requestsPerS: number, seconds: number): number {
  const budgets = Array.from({ length: routers }, () => new SharedRetryBudget(OPTIONS));
  const acquired: number[] = [];
  for (let now = 0; now < seconds * 1_000; now += 1_000 / requestsPerS) {
    const budget = budgets[Math.floor(now * 7) % routers];
    budget?.recordRequest(routers, now);
    while (budget?.tryAcquire(routers, now) === true) acquired.push(now);
  }
  return Math.max(
    ...acquired.map((start) => acquired.filter((at) => at >= start && at < start + 10_000).length),
  );
}

describe('SharedRetryBudget', () => {
  it('stays within ratio x requests + slack in every window, over all routers', () => {
    for (const routers of [1, 2, 6, 28]) {
      for (const requestsPerS of [1, 20, 100]) {
        const bound = OPTIONS.ratio * requestsPerS * 10 + OPTIONS.slack;
        expect(maxRetriesInWindow(routers, requestsPerS, 40)).to.be.at.most(bound);
      }
    }
  });

  it('allows retries at low load', () => {
    const budget = new SharedRetryBudget(OPTIONS);
    budget.recordRequest(6, 0);
    expect(budget.tryAcquire(6, 10)).to.equal(true);
  });
});
