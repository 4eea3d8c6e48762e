import { expect } from 'chai';
import { FairShareLedger } from './fair-share-ledger.ts';
import type { WorkspaceUsage } from './fair-share-ledger.ts';
import type { ShareUsage } from './max-min-share.ts';

const WINDOW_MS = 4_000;
const TOKENS_PER_MS = 350;

function measure(
  ledger: FairShareLedger,
  workspace: string,
  peerUsage: WorkspaceUsage[],
  now: number,
): ShareUsage {
  const readPeerUsage = (): WorkspaceUsage[] => peerUsage;
  return ledger.measureUsage({
    workspace,
    readPeerUsage,
    readTokensPerMs: () => TOKENS_PER_MS,
    now,
  });
}

describe('FairShareLedger', () => {
  it('does not count grants over the share against the share', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('flood', 2_000_000, 0);
    ledger.recordDemand('other', 700_000, 0);
    ledger.recordGrant('flood', 400_000, false, 0);
    ledger.recordGrant('flood', 500_000, true, 500);
    const usage = measure(ledger, 'flood', [], 600);
    expect(usage.shareUsed).to.be.lessThan(0.6);
    expect(usage.surplusUsed).to.be.greaterThan(1);
  });

  it('does not count a grant whose request no endpoint has run', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 2_000_000, 0);
    ledger.recordGrant('a', 500_000, false, 0);
    ledger.returnGrant('a', 500_000, false, 700);
    expect(measure(ledger, 'a', [], 800)).to.deep.equal({ shareUsed: 0, surplusUsed: 0 });
    ledger.recordDemand('a', 100, 4_500);
    expect(ledger.snapshot(4_600)).to.deep.equal([['a', 100, 0, 0]]);
  });

  it('counts the grants of other routers', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 1_000_000, 0);
    const peerUsage: WorkspaceUsage[] = [
      ['a', 1_000_000, 700_000, 0],
      ['b', 1_000_000, 100_000, 0],
    ];
    expect(measure(ledger, 'a', peerUsage, 0).shareUsed).to.be.within(0.99, 1.01);
    expect(measure(ledger, 'b', peerUsage, 0).shareUsed).to.be.within(0.14, 0.15);
  });

  it('counts its own grants at once, and those of other routers soon after they are reported', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    const peerUsage: WorkspaceUsage[] = [['b', 2_000_000, 0, 0]];
    ledger.recordDemand('a', 2_000_000, 0);
    expect(measure(ledger, 'a', peerUsage, 0).shareUsed).to.equal(0);
    ledger.recordGrant('a', 350_000, false, 1);
    const own = measure(ledger, 'a', peerUsage, 2).shareUsed;
    expect(own).to.be.within(0.49, 0.51);
    peerUsage.push(['a', 0, 350_000, 0]);
    expect(measure(ledger, 'a', peerUsage, 50).shareUsed).to.be.within(0.99, 1.01);
  });

  it('adds up the reports of its peers once for many measurements', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 1_000, 0);
    let reads = 0;
    const readPeerUsage = (): WorkspaceUsage[] => {
      reads += 1;
      return [];
    };
    for (let now = 0; now < 100; now += 1) {
      ledger.measureUsage({
        workspace: 'a',
        readPeerUsage,
        readTokensPerMs: () => TOKENS_PER_MS,
        now,
      });
    }
    expect(reads).to.be.lessThan(6);
  });

  it('returns the usage of each workspace as a snapshot', () => {
    const ledger = new FairShareLedger(WINDOW_MS);
    ledger.recordDemand('a', 10, 0);
    ledger.recordGrant('a', 4, false, 0);
    ledger.recordGrant('a', 3, true, 0);
    expect(ledger.snapshot(1)).to.deep.equal([['a', 10, 4, 3]]);
  });
});
