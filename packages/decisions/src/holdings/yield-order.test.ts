import fc from 'fast-check';
import { expect } from 'chai';
import { HoldingKind, isStalled, pickYielding } from './yield-order.ts';
import type { HoldingState } from './yield-order.ts';

const NOW = 100_000;
const SEED = 54;
const RUNS = 500;

const holding: fc.Arbitrary<HoldingState> = fc
  .record({
    kind: fc.constantFrom(...Object.values(HoldingKind)),
    owner: fc.constantFrom('a', 'b', 'c'),
    bytes: fc.integer({ min: 0, max: 4_194_304 }),
    heldMs: fc.integer({ min: 0, max: 60_000 }),
    quietMs: fc.integer({ min: 0, max: 5_000 }),
  })
  .map(({ heldMs, quietMs, ...rest }) => ({
    ...rest,
    heldSince: NOW - heldMs,
    progressAt: NOW - Math.min(quietMs, heldMs),
  }));

function check(property: (holdings: HoldingState[]) => void): void {
  fc.assert(fc.property(fc.array(holding, { maxLength: 30 }), property), {
    seed: SEED,
    numRuns: RUNS,
  });
}

function mayYield({ kind, bytes }: HoldingState): boolean {
  return bytes > 0 && kind !== HoldingKind.ServedRequest;
}

describe('the holding that yields', () => {
  it('is never a request that is served, and always one if any may yield', () => {
    check((holdings) => {
      const first = pickYielding(holdings, NOW);
      expect(first !== undefined).to.equal(holdings.some(mayYield));
      if (first !== undefined) expect(mayYield(first)).to.equal(true);
    });
  });

  it('is stalled if any that may yield is', () => {
    check((holdings) => {
      const first = pickYielding(holdings, NOW);
      const hasStalled = holdings.some((entry) => mayYield(entry) && isStalled(entry, NOW));
      if (first !== undefined) expect(isStalled(first, NOW)).to.equal(hasStalled);
    });
  });

  it('is of the owner that holds most among those that yield first', () => {
    check((holdings) => {
      const first = pickYielding(holdings, NOW);
      if (first === undefined) return;
      const candidates = holdings.filter(
        (entry) => mayYield(entry) && isStalled(entry, NOW) === isStalled(first, NOW),
      );
      const total = (owner: string): number =>
        candidates.reduce((sum, entry) => sum + (entry.owner === owner ? entry.bytes : 0), 0);
      for (const { owner } of candidates) expect(total(first.owner)).to.be.at.least(total(owner));
    });
  });

  it('is not a small and new one while its owner has a larger and older one that makes progress as well', () => {
    check((holdings) => {
      const others = holdings.map((entry) => ({ ...entry, owner: 'a', progressAt: NOW }));
      const ordinary: HoldingState = {
        kind: HoldingKind.AwaitedBody,
        owner: 'a',
        bytes: 16_384,
        heldSince: NOW - 10,
        progressAt: NOW,
      };
      const first = pickYielding([...others, ordinary], NOW);
      const hasWorse = others.some(
        (entry) => mayYield(entry) && entry.bytes > 16_384 && NOW - entry.heldSince > 10,
      );
      if (hasWorse) expect(first).not.to.equal(ordinary);
    });
  });
});
