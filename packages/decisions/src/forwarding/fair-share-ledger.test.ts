import { expect } from 'chai';
import { FairShareLedger } from './fair-share-ledger.ts';
import type { WorkspaceUsage } from './fair-share-ledger.ts';

const WINDOW_MS = 4_000;
const TOKENS_PER_MS = 350;

describe('ledger of shares', () => {
  it('holds nothing against a workspace that it got beyond its share', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('flood', 2_000_000, 0);
    ledger.recordDemand('other', 700_000, 0);
    ledger.recordGrant('flood', 400_000, false, 0);
    ledger.recordGrant('flood', 500_000, true, 500);
    const use = ledger.measureUsage('flood', [], TOKENS_PER_MS, 600);
    expect(use.shareUsed).to.be.lessThan(0.6);
    expect(use.surplusUsed).to.be.greaterThan(1);
  });

  it('counts what other routers granted', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 1_000_000, 0);
    const told: WorkspaceUsage[] = [
      ['a', 1_000_000, 700_000, 0],
      ['b', 1_000_000, 100_000, 0],
    ];
    expect(ledger.measureUsage('a', told, TOKENS_PER_MS, 0).shareUsed).to.be.within(0.99, 1.01);
    expect(ledger.measureUsage('b', told, TOKENS_PER_MS, 0).shareUsed).to.be.within(0.14, 0.15);
  });

  it('tells what it knows of each workspace', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 10, 0);
    ledger.recordGrant('a', 4, false, 0);
    ledger.recordGrant('a', 3, true, 0);
    expect(ledger.snapshot(1)).to.deep.equal([['a', 10, 4, 3]]);
  });
});
