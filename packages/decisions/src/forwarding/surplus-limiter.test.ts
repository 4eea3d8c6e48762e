import { expect } from 'chai';
import { SurplusLimiter } from './surplus-limiter.ts';

function serve(limiter: SurplusLimiter, count: number, firstEventMs: number, serviceMs = 80): void {
  for (let turn = 0; turn < count; turn += 1) {
    limiter.recordServed({ objectiveMs: 400, firstEventMs, serviceMs });
  }
}

describe('SurplusLimiter', () => {
  it('has a high limit while all requests within their share are on time', () => {
    const limiter = new SurplusLimiter();
    serve(limiter, 100, 150);
    expect(limiter.waitLimit()).to.be.greaterThan(0.25);
  });

  it('lowers the limit within a second or two of overload, and raises it again afterwards', () => {
    const limiter = new SurplusLimiter();
    serve(limiter, 10, 700);
    expect(limiter.waitLimit()).to.be.lessThan(0.05);
    serve(limiter, 250, 150);
    expect(limiter.waitLimit()).to.be.greaterThan(0.25);
  });

  it('lowers the limit if other routers see late requests', () => {
    const limiter = new SurplusLimiter();
    serve(limiter, 100, 150);
    expect(limiter.waitLimit({ rate: 0.1, routers: 2 })).to.be.lessThan(0.05);
  });

  it('ignores prompts whose prefill takes the whole objective', () => {
    const limiter = new SurplusLimiter();
    serve(limiter, 100, 900, 700);
    expect(limiter.waitLimit()).to.be.greaterThan(0.25);
  });
});
