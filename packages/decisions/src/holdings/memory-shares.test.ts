import fc from 'fast-check';
import { expect } from 'chai';
import { budgetOfHeap, budgetOfMemory, fitsBudget, fitsShares } from './memory-shares.ts';

const MIB = 1_048_576;
const BUDGET = 64 * MIB;
/** The largest body that the users' sites allow, with what a request costs besides. */
const LARGEST = 4 * MIB + 16_384;
const SEED = 54;

describe('the memory that is held for callers', () => {
  it('leaves room for the process and its garbage', () => {
    for (const memoryMb of [256, 350, 602, 4_096]) {
      const budget = budgetOfMemory(memoryMb * MIB);
      expect(budget).to.be.at.most((memoryMb - 160) * MIB * 0.5);
      expect(budget).to.be.at.least(32 * MIB);
    }
    expect(budgetOfHeap(160 * MIB)).to.equal(40 * MIB);
  });

  it('has room for the largest request in calm', () => {
    for (const budgetBytes of [budgetOfMemory(0), budgetOfHeap(0), BUDGET]) {
      const nothing = { budgetBytes, heldByOthersBytes: 0, heldByOwnerBytes: 0 };
      expect(fitsShares({ ...nothing, wantedBytes: LARGEST })).to.equal(true);
    }
  });

  it('is never promised beyond the budget', () => {
    const bytes = fc.integer({ min: 0, max: BUDGET });
    fc.assert(
      fc.property(bytes, bytes, bytes, (heldByOthersBytes, heldByOwnerBytes, wantedBytes) => {
        const demand = { budgetBytes: BUDGET, heldByOthersBytes, heldByOwnerBytes, wantedBytes };
        if (fitsShares(demand)) expect(fitsBudget(demand)).to.equal(true);
      }),
      { seed: SEED },
    );
  });

  it('leaves a fifth for others, whatever one owner asks for', () => {
    const wishes = fc.array(fc.integer({ min: 1, max: LARGEST }), { maxLength: 200 });
    fc.assert(
      fc.property(wishes, (wanted) => {
        let held = 0;
        for (const wantedBytes of wanted) {
          const heldBytes = { heldByOthersBytes: held, heldByOwnerBytes: held };
          if (fitsShares({ budgetBytes: BUDGET, ...heldBytes, wantedBytes })) held += wantedBytes;
        }
        expect(held).to.be.at.most(BUDGET * 0.8 + 1);
        const newcomer = { heldByOthersBytes: held, heldByOwnerBytes: 0, wantedBytes: MIB };
        expect(fitsShares({ budgetBytes: BUDGET, ...newcomer })).to.equal(true);
      }),
      { seed: SEED },
    );
  });

  it('lets a small request of the same owner in after as many large ones as are let in', () => {
    let held = 0;
    const demand = (wantedBytes: number): boolean =>
      fitsShares({
        budgetBytes: BUDGET,
        heldByOthersBytes: held,
        heldByOwnerBytes: held,
        wantedBytes,
      });
    while (demand(LARGEST)) held += LARGEST;
    expect(demand(65_536)).to.equal(true);
  });
});
