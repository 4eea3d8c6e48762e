/**
 * Adds up the tokens that workspaces demanded and were granted at other routers. The sums are updated with each
 * report, so reading them takes no longer in a larger fleet.
 */
import type { WorkspaceUsage } from './fair-share-ledger.ts';

/** Sums of the latest usage that each peer reported. */
export class PeerUsage {
  private readonly latest = new Map<string, readonly WorkspaceUsage[]>();
  private readonly sums = new Map<string, WorkspaceUsage>();

  /** Replaces what `peer` reported before. */
  replace(peer: string, usage: readonly WorkspaceUsage[]): void {
    this.remove(peer);
    this.latest.set(peer, usage);
    for (const entry of usage) this.add(entry, 1);
  }

  /** Forgets what `peer` reported. */
  remove(peer: string): void {
    for (const entry of this.latest.get(peer) ?? []) this.add(entry, -1);
    this.latest.delete(peer);
  }

  /** The sums by workspace. Workspaces without any usage may be missing. */
  totals(): Iterable<WorkspaceUsage> {
    return this.sums.values();
  }

  private add(entry: WorkspaceUsage, factor: 1 | -1): void {
    const [workspace, demanded, withinShare, overShare] = entry;
    const sum = this.sums.get(workspace) ?? [workspace, 0, 0, 0];
    sum[1] += factor * demanded;
    sum[2] += factor * withinShare;
    sum[3] += factor * overShare;
    const isUnused = sum[1] === 0 && sum[2] === 0 && sum[3] === 0;
    if (isUnused) this.sums.delete(workspace);
    else this.sums.set(workspace, sum);
  }
}
