import { expect } from 'chai';
import { IdleCapacity } from './idle-capacity.ts';

function recordFor(capacity: IdleCapacity, idle: number, fromMs: number, toMs: number): void {
  for (let now = fromMs; now <= toMs; now += 50) capacity.record(idle, 10, now);
}

describe('idle capacity', () => {
  it('counts a fleet as fully used in spite of single endpoints that seem idle', () => {
    const capacity = new IdleCapacity();
    expect(capacity.usedFraction).to.equal(1);
    recordFor(capacity, 1, 0, 2_000);
    expect(capacity.usedFraction).to.be.greaterThan(0.98);
  });

  it('sees a fleet that stays idle within a second, and one that fills again', () => {
    const capacity = new IdleCapacity();
    recordFor(capacity, 0, 0, 1_000);
    recordFor(capacity, 10, 1_050, 2_000);
    expect(capacity.usedFraction).to.be.lessThan(0.3);
    recordFor(capacity, 0, 2_050, 3_050);
    expect(capacity.usedFraction).to.be.greaterThan(0.9);
  });

  it('takes nothing for idle where there is no endpoint', () => {
    const capacity = new IdleCapacity();
    capacity.record(0, 0, 0);
    expect(capacity.usedFraction).to.equal(1);
  });
});
