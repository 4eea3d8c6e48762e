import { expect } from 'chai';
import { computeQueueFullRetryAfter, computeDeadlineRetryAfter, DrainRate } from './drain-rate.ts';

/** Creates a drain rate with ten departures a second for `seconds`. */
function createTenPerSecondRate(seconds: number): DrainRate {
  const rate = new DrainRate();
  rate.start(0);
  for (let at = 100; at <= seconds * 1_000; at += 100) rate.recordDeparture(at);
  return rate;
}

describe('DrainRate', () => {
  it('lets a refused caller retry after a tenth of the queue has drained', () => {
    const perSecond = createTenPerSecondRate(5).perSecond(5_000);
    expect(perSecond).to.be.closeTo(10, 0.5);
    expect(computeQueueFullRetryAfter(200, perSecond)).to.equal(2);
  });

  it('ignores departures before the previous window', () => {
    expect(createTenPerSecondRate(1).perSecond(60_000)).to.be.closeTo(0.1, 0.01);
    expect(computeQueueFullRetryAfter(200, createTenPerSecondRate(1).perSecond(60_000))).to.equal(
      60,
    );
  });

  it('gives a short Retry-After before the first departure', () => {
    const rate = new DrainRate();
    rate.start(0);
    expect(computeQueueFullRetryAfter(1, rate.perSecond(0))).to.equal(1);
    expect(computeQueueFullRetryAfter(100, rate.perSecond(2_000))).to.equal(20);
  });

  it('estimates a wait only after enough departures', () => {
    expect(createTenPerSecondRate(1).estimateWaitMs(300, 1_000)).to.equal(undefined);
    expect(createTenPerSecondRate(5).estimateWaitMs(300, 5_000)).to.be.closeTo(30_000, 1_500);
    expect(computeDeadlineRetryAfter(30_000, 20_000)).to.equal(10);
  });

  it('restarts after the queue has been empty, when the rate is limited by arrivals', () => {
    const rate = createTenPerSecondRate(5);
    rate.reset();
    expect(rate.estimateWaitMs(300, 5_000)).to.equal(undefined);
  });
});
