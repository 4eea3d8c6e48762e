/**
 * Shares of workspaces: what each asked for in a sliding window, across all routers, and the most that
 * each may have when the fleet's rate is divided by max-min fairness. Pattern: one workspace sends
 * many times its usual; the others keep their whole service.
 */

/** Parts of the window; the oldest leaves as a whole. */
const PARTS = 8;

/** Tokens asked for in a sliding window. */
export class SlidingTokenWindow {
  private readonly partMs: number;
  private readonly parts: { started: number; asked: Map<string, number> }[] = [];

  constructor(windowMs: number) {
    this.partMs = windowMs / PARTS;
  }

  /** Notes that `workspace` asked for `tokens`. */
  add(workspace: string, tokens: number, now: number): void {
    let part = this.parts.at(-1);
    if (part === undefined || now - part.started >= this.partMs) {
      part = { started: now, asked: new Map() };
      this.parts.push(part);
    }
    part.asked.set(workspace, (part.asked.get(workspace) ?? 0) + tokens);
    this.dropOld(now);
  }

  /** Tokens that each workspace asked for within the window. */
  totals(now: number): Map<string, number> {
    this.dropOld(now);
    const totals = new Map<string, number>();
    for (const { asked } of this.parts) {
      for (const [workspace, tokens] of asked) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + tokens);
      }
    }
    return totals;
  }

  private dropOld(now: number): void {
    while (this.parts[0] !== undefined && now - this.parts[0].started > this.partMs * PARTS) {
      this.parts.shift();
    }
  }
}

/** The level up to which all demands fit into `capacity` together; infinite where all fit whole. */
export function findMaxMinLevel(demands: Iterable<number>, capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (const [index, demand] of sorted.entries()) {
    const level = left / (sorted.length - index);
    if (demand > level) return level;
    left -= demand;
  }
  return Number.POSITIVE_INFINITY;
}

/** Growth over what was granted up to which demands count as served; short of it some are refused. */
const SERVED_SLACK = 1.1;

/** What all workspaces asked for and got within the window, in tokens. */
export interface FleetUsage {
  demanded: ReadonlyMap<string, number>;
  /** Granted to workspaces that had not had their share yet. */
  withinShare: ReadonlyMap<string, number>;
  /** Granted to workspaces that had. */
  overShare: ReadonlyMap<string, number>;
  /** What the endpoints are held to produce in the window. */
  nominalTokens: number;
}

/** What a workspace has had, against the levels of max-min fairness; 0 where all demands fit. */
export interface ShareUsage {
  /** Of its share of what the endpoints are held to produce. */
  shareUsed: number;
  /** Of its share of what they do produce, where that is more: the surplus is shared fairly too. */
  surplusUsed: number;
}

/** Measures one workspace's use of its shares. */
export function measureShareUsage(workspace: string, demand: FleetUsage): ShareUsage {
  const { demanded, withinShare, overShare, nominalTokens } = demand;
  const within = withinShare.get(workspace) ?? 0;
  const beyond = overShare.get(workspace) ?? 0;
  const granted = sum(withinShare) + sum(overShare);
  const produced = Math.max(nominalTokens, granted * SERVED_SLACK);
  return {
    shareUsed: within / findMaxMinLevel(demanded.values(), nominalTokens),
    surplusUsed: (within + beyond) / findMaxMinLevel(demanded.values(), produced),
  };
}

function sum(totals: ReadonlyMap<string, number>): number {
  let total = 0;
  for (const tokens of totals.values()) total += tokens;
  return total;
}
