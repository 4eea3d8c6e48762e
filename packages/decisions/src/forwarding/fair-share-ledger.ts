/**
 * Accounts for the tokens that workspaces demanded and were granted at one router within a sliding window,
 * and measures them against their max-min fair shares over all routers. Grants over the share, which are
 * only made from surplus capacity, are counted separately and don't use up the share. Otherwise a
 * workspace that got surplus tokens during a second of low load would have requests within its share
 * refused for them in the next, busy second.
 *
 * Adding up the windows of all routers costs time in proportion to routers and workspaces. The sums and the
 * fair levels are therefore kept for a short while, and only this router's own records are added meanwhile.
 */
import { SlidingTokenWindow, findFairLevels } from './max-min-share.ts';
import type { FairLevels, FleetUsage, ShareUsage } from './max-min-share.ts';

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

/** Time for which the sums over all routers are kept, in ms; peers report their usage less often. */
const FLEET_USAGE_TTL_MS = 25;

/** Options of a measurement of share usage. */
export interface ShareMeasurement {
  workspace: string;
  /** Returns the entries that the other routers report. */
  readPeerUsage: () => Iterable<WorkspaceUsage>;
  /** Returns the nominal capacity of the endpoints that take requests now, in tokens per ms. */
  readTokensPerMs: () => number;
  /** Returns how far requests within their share are refused or late, in 0..1; by default they aren't. */
  readContention?: () => number;
  /** Returns which part of the endpoints is in use, in 0..1; by default all of them are. */
  readUsedFraction?: () => number;
  now: number;
}

/** The sums over all routers from which one workspace's shares follow, in tokens of the window. */
export interface ShareSums {
  demanded: number;
  granted: number;
  /** Level of the nominal capacity; infinite if all demands fit. */
  level: number;
  /** Level of the capacity in use. */
  levelInUse: number;
}

/** Demand and grants of one workspace within the window, in tokens, over all routers. */
export interface WorkspaceService {
  workspace: string;
  demanded: number;
  granted: number;
}

/** Sums over all routers and the fair levels that follow from them, at one time. */
interface FleetUsageSnapshot {
  usage: FleetUsage;
  levels: FairLevels;
  takenAt: number;
}

/** The token accounts of one router's workspaces. */
export class FairShareLedger {
  private readonly windowMs: number;
  private readonly demanded: SlidingTokenWindow;
  private readonly withinShare: SlidingTokenWindow;
  private readonly overShare: SlidingTokenWindow;
  private fleet: FleetUsageSnapshot | undefined;

  constructor(windowMs: number) {
    this.windowMs = windowMs;
    this.demanded = new SlidingTokenWindow(windowMs);
    this.withinShare = new SlidingTokenWindow(windowMs);
    this.overShare = new SlidingTokenWindow(windowMs);
  }

  /** Records the demand of a new request. Retries of the same request must not be recorded again. */
  recordDemand(workspace: string, tokens: number, now: number): void {
    this.demanded.add(workspace, tokens, now);
    if (this.fleet !== undefined) addTokens(this.fleet.usage.demanded, workspace, tokens);
  }

  /** Records tokens granted to a workspace, either within its share or over it. */
  recordGrant(workspace: string, tokens: number, isOverShare: boolean, now: number): void {
    const window = isOverShare ? this.overShare : this.withinShare;
    window.add(workspace, tokens, now);
    if (this.fleet === undefined) return;
    const { usage } = this.fleet;
    addTokens(isOverShare ? usage.overShare : usage.withinShare, workspace, tokens);
  }

  /** Takes a grant back whose request no endpoint has run. */
  returnGrant(workspace: string, tokens: number, isOverShare: boolean, now: number): void {
    this.recordGrant(workspace, -tokens, isOverShare, now);
  }

  /** This router's usage by workspace, for its reports to peers. Token counts are rounded. */
  snapshot(now: number): WorkspaceUsage[] {
    const withinShare = this.withinShare.totals(now);
    const overShare = this.overShare.totals(now);
    return [...this.demanded.totals(now)].map(([workspace, demanded]) => [
      workspace,
      Math.round(demanded),
      roundCount(withinShare.get(workspace)),
      roundCount(overShare.get(workspace)),
    ]);
  }

  /** Measures how much of its fair shares a workspace has used. */
  measureUsage(measurement: ShareMeasurement): ShareUsage {
    const { workspace } = measurement;
    const { usage, levels } = this.currentFleetUsage(measurement);
    const withinShare = usage.withinShare.get(workspace) ?? 0;
    const overShare = usage.overShare.get(workspace) ?? 0;
    return {
      shareUsed: withinShare / levels.nominal,
      surplusUsed: (withinShare + overShare) / levels.inUse,
    };
  }

  /** What the latest measurement was based on; undefined before the first one. */
  describeSums(workspace: string): ShareSums | undefined {
    if (this.fleet === undefined) return undefined;
    const { usage, levels } = this.fleet;
    const { demanded, granted } = describeService(usage, workspace);
    return { demanded, granted, level: levels.nominal, levelInUse: levels.inUse };
  }

  /** Demand and grants of all workspaces, as of the latest measurement. */
  listServices(): WorkspaceService[] {
    if (this.fleet === undefined) return [];
    const { usage } = this.fleet;
    return Array.from(usage.demanded.keys(), (workspace) => describeService(usage, workspace));
  }

  private currentFleetUsage(measurement: ShareMeasurement): FleetUsageSnapshot {
    const { now, readTokensPerMs, readPeerUsage } = measurement;
    if (this.fleet !== undefined && now - this.fleet.takenAt < FLEET_USAGE_TTL_MS)
      return this.fleet;
    const usage = this.sumUsage(readPeerUsage(), now);
    const levels = findFairLevels(usage, {
      nominalTokens: readTokensPerMs() * this.windowMs,
      contention: measurement.readContention?.() ?? 0,
      usedFraction: measurement.readUsedFraction?.() ?? 1,
    });
    this.fleet = { usage, levels, takenAt: now };
    return this.fleet;
  }

  private sumUsage(peerUsage: Iterable<WorkspaceUsage>, now: number): FleetUsage {
    const demanded = this.demanded.totals(now);
    const withinShare = this.withinShare.totals(now);
    const overShare = this.overShare.totals(now);
    for (const [workspace, peerDemanded, peerWithinShare, peerOverShare] of peerUsage) {
      addTokens(demanded, workspace, peerDemanded);
      addTokens(withinShare, workspace, peerWithinShare);
      addTokens(overShare, workspace, peerOverShare);
    }
    return { demanded, withinShare, overShare };
  }
}

/** Demand and grants of all these workspaces together, in tokens. */
export function sumServices(
  services: readonly WorkspaceService[],
): Pick<WorkspaceService, 'demanded' | 'granted'> {
  const total = { demanded: 0, granted: 0 };
  for (const { demanded, granted } of services) {
    total.demanded += demanded;
    total.granted += granted;
  }
  return total;
}

/** A grant that is returned leaves the window later than it came, so that a sum may be below 0 in between. */
function roundCount(tokens = 0): number {
  return Math.max(0, Math.round(tokens));
}

function describeService(usage: FleetUsage, workspace: string): WorkspaceService {
  const { demanded, withinShare, overShare } = usage;
  const granted = (withinShare.get(workspace) ?? 0) + (overShare.get(workspace) ?? 0);
  return { workspace, demanded: demanded.get(workspace) ?? 0, granted };
}

function addTokens(totals: Map<string, number>, workspace: string, tokens: number): void {
  totals.set(workspace, (totals.get(workspace) ?? 0) + tokens);
}
