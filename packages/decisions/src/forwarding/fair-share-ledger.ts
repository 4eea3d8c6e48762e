/**
 * Accounts for the tokens that workspaces demanded and were granted at one router within a sliding window,
 * and measures them against their max-min fair shares over all routers. Grants over the share, which are
 * only made from surplus capacity, are counted separately and don't use up the share. Otherwise a
 * workspace that got surplus tokens during a second of low load would have requests within its share
 * refused for them in the next, busy second.
 */
import { SlidingTokenWindow, measureShareUsage } from './max-min-share.ts';
import type { ShareUsage } from './max-min-share.ts';

/**
 * Tokens demanded by and granted to one workspace within the window, as one router reports them to its
 * peers. The order of the fields is part of the report format.
 */
export type WorkspaceUsage = [
  workspace: string,
  demanded: number,
  withinShare: number,
  overShare: number,
];

/** The token accounts of one router's workspaces. */
export class FairShareLedger {
  private readonly windowMs: number;
  private readonly demanded: SlidingTokenWindow;
  private readonly withinShare: SlidingTokenWindow;
  private readonly overShare: SlidingTokenWindow;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.demanded = new SlidingTokenWindow(windowMs);
    this.withinShare = new SlidingTokenWindow(windowMs);
    this.overShare = new SlidingTokenWindow(windowMs);
  }

  /** Records the demand of a new request. Retries of the same request must not be recorded again. */
  recordDemand(workspace: string, tokens: number, now: number): void {
    this.demanded.add(workspace, tokens, now);
  }

  /** Records tokens granted to a workspace, either within its share or over it. */
  recordGrant(workspace: string, tokens: number, isOverShare: boolean, now: number): void {
    const window = isOverShare ? this.overShare : this.withinShare;
    window.add(workspace, tokens, now);
  }

  /** This router's usage by workspace, for its reports to peers. Token counts are rounded. */
  snapshot(now: number): WorkspaceUsage[] {
    const withinShare = this.withinShare.totals(now);
    const overShare = this.overShare.totals(now);
    return [...this.demanded.totals(now)].map(([workspace, demanded]) => [
      workspace,
      Math.round(demanded),
      Math.round(withinShare.get(workspace) ?? 0),
      Math.round(overShare.get(workspace) ?? 0),
    ]);
  }

  /**
   * Measures how much of its fair shares a workspace has used. `peerUsage` holds the entries that the other
   * routers report, and `tokensPerMs` the fleet's nominal capacity.
   */
  measureUsage(
    workspace: string,
    peerUsage: Iterable<WorkspaceUsage>,
    tokensPerMs: number,
    now: number,
  ): ShareUsage {
    const demanded = this.demanded.totals(now);
    const withinShare = this.withinShare.totals(now);
    const overShare = this.overShare.totals(now);
    for (const [peerWorkspace, peerDemanded, peerWithinShare, peerOverShare] of peerUsage) {
      addTokens(demanded, peerWorkspace, peerDemanded);
      addTokens(withinShare, peerWorkspace, peerWithinShare);
      addTokens(overShare, peerWorkspace, peerOverShare);
    }
    const nominalTokens = tokensPerMs * this.windowMs;
    return measureShareUsage(workspace, { demanded, withinShare, overShare, nominalTokens });
  }
}

function addTokens(totals: Map<string, number>, workspace: string, tokens: number): void {
  totals.set(workspace, (totals.get(workspace) ?? 0) + tokens);
}
