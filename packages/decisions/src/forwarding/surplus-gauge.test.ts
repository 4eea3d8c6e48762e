import { expect } from 'chai';
import { SurplusGauge } from './surplus-gauge.ts';

function serve(gauge: SurplusGauge, count: number, firstEventMs: number, serviceMs = 80): void {
  for (let turn = 0; turn < count; turn += 1) {
    gauge.noteServed({ objectiveMs: 400, firstEventMs, serviceMs });
  }
}

describe('surplus gauge', () => {
  it('gives room beyond the shares while all within them are on time', () => {
    const gauge = new SurplusGauge();
    serve(gauge, 100, 150);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });

  it('takes the room back within a second or two of load, and gives it again after', () => {
    const gauge = new SurplusGauge();
    serve(gauge, 10, 700);
    expect(gauge.waitLimit()).to.be.lessThan(0.05);
    serve(gauge, 250, 150);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });

  it('takes the room back where other routers see late requests', () => {
    const gauge = new SurplusGauge();
    serve(gauge, 100, 150);
    expect(gauge.waitLimit([0.1, 0.1])).to.be.lessThan(0.05);
  });

  it('learns nothing from prompts that take the whole objective to read', () => {
    const gauge = new SurplusGauge();
    serve(gauge, 100, 900, 700);
    expect(gauge.waitLimit()).to.be.greaterThan(0.25);
  });
});
