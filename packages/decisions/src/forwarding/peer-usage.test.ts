import { expect } from 'chai';
import fc from 'fast-check';
import type { WorkspaceUsage } from './fair-share-ledger.ts';
import { PeerUsage } from './peer-usage.ts';

/** The sums over all reports, in the order of the workspaces' names. */
function addUp(reports: Iterable<readonly WorkspaceUsage[]>): WorkspaceUsage[] {
  const sums = new Map<string, WorkspaceUsage>();
  for (const [workspace, demanded, withinShare, overShare] of [...reports].flat()) {
    const sum = sums.get(workspace) ?? [workspace, 0, 0, 0];
    sums.set(workspace, [workspace, sum[1] + demanded, sum[2] + withinShare, sum[3] + overShare]);
  }
  return sortUsed([...sums.values()]);
}

function sortUsed(usage: Iterable<WorkspaceUsage>): WorkspaceUsage[] {
  const used = [...usage].filter(([, ...tokens]) => tokens.some((count) => count > 0));
  return used.sort(([a], [b]) => a.localeCompare(b));
}

const usageArbitrary = fc.uniqueArray(
  fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(), fc.nat(), fc.nat()),
  { selector: ([workspace]) => workspace },
);

const changeArbitrary = fc.record({
  peer: fc.constantFrom('x', 'y', 'z'),
  usage: fc.option(usageArbitrary),
});

describe('PeerUsage', () => {
  it('has the sums of the latest reports after any replacements and removals', () => {
    fc.assert(
      fc.property(fc.array(changeArbitrary), (changes) => {
        const peerUsage = new PeerUsage();
        const latest = new Map<string, readonly WorkspaceUsage[]>();
        for (const { peer, usage } of changes) {
          if (usage === null) {
            peerUsage.remove(peer);
            latest.delete(peer);
          } else {
            peerUsage.replace(peer, usage);
            latest.set(peer, usage);
          }
        }
        expect(sortUsed(peerUsage.totals())).to.deep.equal(addUp(latest.values()));
      }),
    );
  });
});
