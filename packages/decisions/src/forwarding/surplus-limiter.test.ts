import { expect } from 'chai';
import { SurplusLimiter } from './surplus-limiter.ts';

/** Time between two requests, in ms. */
const REQUEST_MS = 16;

/** Serves requests from the time `startedAt` on, and returns the time of the last one. */
function serve(
  limiter: SurplusLimiter,
  count: number,
  { firstEventMs, serviceMs = 80, startedAt = 0 }: ServedTimes,
): number {
  for (let turn = 1; turn <= count; turn += 1) {
    const request = { objectiveMs: 400, firstEventMs, serviceMs };
    limiter.recordServed(request, startedAt + turn * REQUEST_MS);
  }
  return startedAt + count * REQUEST_MS;
}

interface ServedTimes {
  firstEventMs: number;
  serviceMs?: number;
  startedAt?: number;
}

describe('SurplusLimiter', () => {
  it('has a high limit while all requests within their share are on time', () => {
    const limiter = new SurplusLimiter();
    const now = serve(limiter, 100, { firstEventMs: 150 });
    expect(limiter.waitLimit(now)).to.be.greaterThan(0.25);
  });

  it('lowers the limit within a second or two of overload, and raises it again afterwards', () => {
    const limiter = new SurplusLimiter();
    const overloadedAt = serve(limiter, 10, { firstEventMs: 700 });
    expect(limiter.waitLimit(overloadedAt)).to.be.lessThan(0.05);
    const now = serve(limiter, 250, { firstEventMs: 150, startedAt: overloadedAt });
    expect(limiter.waitLimit(now)).to.be.greaterThan(0.25);
  });

  it('lowers the limit if other routers see late requests', () => {
    const limiter = new SurplusLimiter();
    const now = serve(limiter, 100, { firstEventMs: 150 });
    expect(limiter.waitLimit(now, { late: 20, total: 200 })).to.be.lessThan(0.05);
  });

  it('ignores prompts whose prefill takes the whole objective', () => {
    const limiter = new SurplusLimiter();
    const now = serve(limiter, 100, { firstEventMs: 900, serviceMs: 700 });
    expect(limiter.waitLimit(now)).to.be.greaterThan(0.25);
  });

  it('forgets late requests with time, also without any others', () => {
    const limiter = new SurplusLimiter();
    const now = serve(limiter, 60, { firstEventMs: 700 });
    expect(limiter.contention(now)).to.equal(1);
    expect(limiter.counts(now + 3_000)).to.deep.equal({ late: 0, total: 0 });
    expect(limiter.contention(now + 3_000)).to.equal(0);
  });

  it('weighs the requests of all routers alike', () => {
    const limiter = new SurplusLimiter();
    const now = serve(limiter, 10, { firstEventMs: 700 });
    expect(limiter.contention(now, { late: 0, total: 5_000 })).to.equal(0);
  });
});
