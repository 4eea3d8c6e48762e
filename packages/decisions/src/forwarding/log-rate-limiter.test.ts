import { expect } from 'chai';
import { LogRateLimiter } from './log-rate-limiter.ts';

const CALLS = 2_000;
const CALLS_PER_MS = 0.2;

describe('budget of log lines', () => {
  it('takes all lines of a usual load', () => {
    const budget = new LogRateLimiter();
    for (let call = 0; call < 100; call += 1) {
      expect(budget.tryAcquire(call * 50)).to.equal(true);
    }
    expect(budget.takeSuppressedCount()).to.equal(0);
  });

  it('leaves out most lines at the worst load, and counts them', () => {
    const budget = new LogRateLimiter();
    let taken = 0;
    for (let call = 0; call < CALLS; call += 1) {
      if (budget.tryAcquire(call / CALLS_PER_MS)) taken += 1;
    }
    expect(taken).to.be.within(400, 500);
    expect(budget.takeSuppressedCount()).to.equal(CALLS - taken);
    expect(budget.takeSuppressedCount()).to.equal(0);
  });
});
