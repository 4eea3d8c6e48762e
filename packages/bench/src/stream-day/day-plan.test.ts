import { expect } from 'chai';
import fc from 'fast-check';
import { Random } from '@poplarpick/load';
import { DAY_ROUTES, DayFaultKind, planDay } from './day-plan.ts';

const SEED = 51;
const DURATION_MS = 20_000;

describe('the plan of a day', () => {
  it('follows from its seed, holds only the given kinds, and ends its faults with the day', () => {
    const kinds = fc.subarray(Object.values(DayFaultKind), { minLength: 1 });
    const property = fc.property(fc.nat(), kinds, (seed, chosen) => {
      const plan = planDay(new Random(seed), DURATION_MS, chosen);
      expect(planDay(new Random(seed), DURATION_MS, chosen)).to.deep.equal(plan);
      expect(plan).to.not.have.length(0);
      for (const { kind, startMs, durationMs } of plan) {
        expect(chosen).to.include(kind);
        expect(startMs).to.be.within(0, DURATION_MS);
        expect(durationMs).to.be.within(0, DURATION_MS / 5);
      }
    });
    fc.assert(property, { seed: SEED, numRuns: 50 });
  });

  it('draws each request from one of the routes', () => {
    const shares = DAY_ROUTES.reduce((sum, { share }) => sum + share, 0);
    expect(shares).to.be.closeTo(1, 1e-9);
  });
});
