import { expect } from 'chai';
import { LogRateLimiter } from './log-rate-limiter.ts';

const CALLS = 2_000;
const CALLS_PER_MS = 0.2;

describe('LogRateLimiter', () => {
  it('allows all lines at a usual load', () => {
    const limiter = new LogRateLimiter();
    for (let call = 0; call < 100; call += 1) {
      expect(limiter.tryAcquire(call * 50)).to.equal(true);
    }
    expect(limiter.takeSuppressedCount()).to.equal(0);
  });

  it('suppresses and counts most lines at peak load', () => {
    const limiter = new LogRateLimiter();
    let allowed = 0;
    for (let call = 0; call < CALLS; call += 1) {
      if (limiter.tryAcquire(call / CALLS_PER_MS)) allowed += 1;
    }
    expect(allowed).to.be.within(400, 500);
    expect(limiter.takeSuppressedCount()).to.equal(CALLS - allowed);
    expect(limiter.takeSuppressedCount()).to.equal(0);
  });
});
