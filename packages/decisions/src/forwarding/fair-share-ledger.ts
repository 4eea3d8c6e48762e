/**
 * What workspaces asked for and got of one router within a sliding window, and how that stands against
 * their shares over all routers. What a workspace got beyond its share, while there was room, is kept
 * apart: it must not count against the share that follows. Pattern: a workspace floods for some seconds;
 * what it got in a calm second would otherwise be held against its requests in the next, busy one.
 */
import { SlidingTokenWindow, measureShareUsage } from './max-min-share.ts';
import type { ShareUsage } from './max-min-share.ts';

/** Tokens of one workspace within the window, as one router tells them to the others. */
export type WorkspaceUsage = [
  workspace: string,
  asked: number,
  withinShare: number,
  beyondShare: number,
];

/** The ledger of one router. */
export class FairShareLedger {
  private readonly windowMs: number;
  private readonly asked: SlidingTokenWindow;
  private readonly withinShare: SlidingTokenWindow;
  private readonly beyondShare: SlidingTokenWindow;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.asked = new SlidingTokenWindow(windowMs);
    this.withinShare = new SlidingTokenWindow(windowMs);
    this.beyondShare = new SlidingTokenWindow(windowMs);
  }

  /** Notes that a workspace asks for `tokens` for the first time. */
  recordDemand(workspace: string, tokens: number, now: number): void {
    this.asked.add(workspace, tokens, now);
  }

  /** Notes that a workspace gets `tokens`. */
  recordGrant(workspace: string, tokens: number, isBeyondShare: boolean, now: number): void {
    const window = isBeyondShare ? this.beyondShare : this.withinShare;
    window.add(workspace, tokens, now);
  }

  /** What this router has to tell the others. */
  snapshot(now: number): WorkspaceUsage[] {
    const within = this.withinShare.totals(now);
    const beyond = this.beyondShare.totals(now);
    return [...this.asked.totals(now)].map(([workspace, asked]) => [
      workspace,
      Math.round(asked),
      Math.round(within.get(workspace) ?? 0),
      Math.round(beyond.get(workspace) ?? 0),
    ]);
  }

  /** What a workspace has had of its shares; `told` is what the other routers told. */
  measureUsage(
    workspace: string,
    told: Iterable<WorkspaceUsage>,
    tokensPerMs: number,
    now: number,
  ): ShareUsage {
    const demanded = this.asked.totals(now);
    const withinShare = this.withinShare.totals(now);
    const overShare = this.beyondShare.totals(now);
    for (const [name, itsAsked, itsWithin, itsBeyond] of told) {
      addTo(demanded, name, itsAsked);
      addTo(withinShare, name, itsWithin);
      addTo(overShare, name, itsBeyond);
    }
    const nominalTokens = tokensPerMs * this.windowMs;
    return measureShareUsage(workspace, { demanded, withinShare, overShare, nominalTokens });
  }
}

function addTo(totals: Map<string, number>, name: string, tokens: number): void {
  totals.set(name, (totals.get(name) ?? 0) + tokens);
}
