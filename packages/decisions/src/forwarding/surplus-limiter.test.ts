import { expect } from 'chai';
import { SurplusLimiter } from './surplus-limiter.ts';

function serve(gauge: SurplusLimiter, count: number, firstEventMs: number, serviceMs = 80): void {
  for (let turn = 0; turn < count; turn += 1) {
    gauge.recordServed({ objectiveMs: 400, firstEventMs, serviceMs });
  }
}

describe('surplus gauge', () => {
  it('gives room beyond the shares while all within them are on time', () => {
    const gauge = new SurplusLimiter();
    serve(gauge, 100, 150);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });

  it('takes the room back within a second or two of load, and gives it again after', () => {
    const gauge = new SurplusLimiter();
    serve(gauge, 10, 700);
    expect(gauge.waitLimit()).to.be.lessThan(0.05);
    serve(gauge, 250, 150);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });

  it('takes the room back where other routers see late requests', () => {
    const gauge = new SurplusLimiter();
    serve(gauge, 100, 150);
    expect(gauge.waitLimit([0.1, 0.1])).to.be.lessThan(0.05);
  });

  it('learns nothing from prompts that take the whole objective to read', () => {
    const gauge = new SurplusLimiter();
    serve(gauge, 100, 900, 700);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });
});
