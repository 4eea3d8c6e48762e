import { expect } from 'chai';
import { FairShareLedger } from './fair-share-ledger.ts';
import type { WorkspaceUsage } from './fair-share-ledger.ts';

const WINDOW_MS = 4_000;
const TOKENS_PER_MS = 350;

describe('FairShareLedger', () => {
  it('does not count grants over the share against the share', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('flood', 2_000_000, 0);
    ledger.recordDemand('other', 700_000, 0);
    ledger.recordGrant('flood', 400_000, false, 0);
    ledger.recordGrant('flood', 500_000, true, 500);
    const usage = ledger.measureUsage('flood', [], TOKENS_PER_MS, 600);
    expect(usage.shareUsed).to.be.lessThan(0.6);
    expect(usage.surplusUsed).to.be.greaterThan(1);
  });

  it('counts the grants of other routers', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 1_000_000, 0);
    const peerUsage: WorkspaceUsage[] = [
      ['a', 1_000_000, 700_000, 0],
      ['b', 1_000_000, 100_000, 0],
    ];
    expect(ledger.measureUsage('a', peerUsage, TOKENS_PER_MS, 0).shareUsed).to.be.within(
      0.99,
      1.01,
    );
    expect(ledger.measureUsage('b', peerUsage, TOKENS_PER_MS, 0).shareUsed).to.be.within(
      0.14,
      0.15,
    );
  });

  it('returns the usage of each workspace as a snapshot', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 10, 0);
    ledger.recordGrant('a', 4, false, 0);
    ledger.recordGrant('a', 3, true, 0);
    expect(ledger.snapshot(1)).to.deep.equal([['a', 10, 4, 3]]);
  });
});
