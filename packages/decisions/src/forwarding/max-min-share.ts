/**
 * Max-min fair shares of the fleet's token capacity. Demand per workspace is summed over a sliding window
 * and over all routers. Max-min fairness grants every workspace its demand up to a common level, so a
 * workspace that sends many times its usual load doesn't reduce what the others get.
 */

/** Number of time buckets in a window. Buckets expire as a whole. */
const BUCKET_COUNT = 8;

/** Token counts per workspace over a sliding window. */
export class SlidingTokenWindow {
  private readonly bucketMs: number;
  private readonly buckets: { startedAt: number; tokensByWorkspace: Map<string, number> }[] = [];

  constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKET_COUNT;
  }

  /** Adds `tokens` to the count of `workspace`. */
  add(workspace: string, tokens: number, now: number): void {
    let bucket = this.buckets.at(-1);
    if (bucket === undefined || now - bucket.startedAt >= this.bucketMs) {
      bucket = { startedAt: now, tokensByWorkspace: new Map() };
      this.buckets.push(bucket);
    }
    bucket.tokensByWorkspace.set(
      workspace,
      (bucket.tokensByWorkspace.get(workspace) ?? 0) + tokens,
    );
    this.dropExpired(now);
  }

  /** Token count of each workspace within the window. */
  totals(now: number): Map<string, number> {
    this.dropExpired(now);
    const totals = new Map<string, number>();
    for (const { tokensByWorkspace } of this.buckets) {
      for (const [workspace, tokens] of tokensByWorkspace) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + tokens);
      }
    }
    return totals;
  }

  private dropExpired(now: number): void {
    while (
      this.buckets[0] !== undefined &&
      now - this.buckets[0].startedAt > this.bucketMs * BUCKET_COUNT
    ) {
      this.buckets.shift();
    }
  }
}

/**
 * Finds the max-min fair level by water-filling: capping every demand at this level uses up `capacity`.
 * Infinity if the uncapped demands fit.
 */
export function findMaxMinLevel(demands: Iterable<number>, capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  for (const [index, demand] of sorted.entries()) {
    const level = remaining / (sorted.length - index);
    if (demand > level) return level;
    remaining -= demand;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * Headroom over the granted tokens that counts as available capacity. Demands of up to this multiple of
 * the grants count as served in full; beyond it, some requests are being refused.
 */
const CAPACITY_HEADROOM = 1.1;

/** Demand and grants of all workspaces within the window, in tokens. */
export interface FleetUsage {
  demanded: Map<string, number>;
  /** Tokens granted to requests that were within their workspace's fair share. */
  withinShare: Map<string, number>;
  /** Tokens granted from the surplus to requests that were over their workspace's fair share. */
  overShare: Map<string, number>;
}

/** Max-min fair levels within the window, in tokens; infinite if all demands fit. */
export interface FairLevels {
  /** Level of the nominal capacity, or of the capacity in use where that is less. */
  nominal: number;
  /**
   * Level of the capacity in use. It exceeds the nominal one when the endpoints produce more than expected, so
   * that the surplus is shared fairly too. It is less when they, or the routers before them, produce less.
   */
  inUse: number;
}

/**
 * Tokens granted to a workspace as a fraction of its max-min fair share; 1 means that the share is used
 * up. A fraction is 0 if all demands fit into the capacity that it refers to.
 */
export interface ShareUsage {
  /** Fraction of its share of the nominal capacity or less, see `FairLevels`, counting grants within the share only. */
  shareUsed: number;
  /** Fraction of its share of the capacity in use, counting all grants. */
  surplusUsed: number;
}

/** The capacity from which fair levels follow. */
export interface SharedCapacity {
  /** What the endpoints are expected to produce within the window, in tokens. */
  nominalTokens: number;
  /** How far requests within their share are refused or late, in 0..1; by default they aren't. */
  contention?: number;
  /** Part of the endpoints that is in use, in 0..1; by default all of them are. */
  usedFraction?: number;
}

/**
 * Finds the fair levels. The endpoints may produce less than is expected of them, and so may the routers before them:
 * then the demands fit into the nominal capacity, no share would be used up, and whoever asks most would get most. As
 * far as requests within their share are refused or late, the capacity is therefore what was granted, if that is less.
 * Where part of the endpoints has nothing to do, they could have served as much more.
 */
export function findFairLevels(usage: FleetUsage, capacity: SharedCapacity): FairLevels {
  const { nominalTokens, contention = 0, usedFraction = 1 } = capacity;
  const { demanded, withinShare, overShare } = usage;
  const totalGranted = sumTokens(withinShare) + sumTokens(overShare);
  const tokensInUse = totalGranted * Math.max(CAPACITY_HEADROOM, 1 / usedFraction);
  const shortfall = Math.max(0, nominalTokens - tokensInUse) * contention;
  return {
    nominal: findMaxMinLevel(demanded.values(), nominalTokens - shortfall),
    inUse: findMaxMinLevel(demanded.values(), Math.max(nominalTokens, tokensInUse) - shortfall),
  };
}

function sumTokens(totals: ReadonlyMap<string, number>): number {
  let total = 0;
  for (const tokens of totals.values()) total += tokens;
  return total;
}
