/** Report on error budgets of the fleet: burn rates per workspace, from the event counts of all routers. */
import {
  addCounts,
  BURN_WINDOWS_MS,
  BurnAlert,
  computeBurnRate,
  evaluateBurn,
  Objective,
  OBJECTIVES,
  findTarget,
} from '@poplarpick/decisions';
import type { BurnStatus, EventCounts, ServiceObjectives } from '@poplarpick/decisions';
import { HISTOGRAM_UNITS_PER_MS } from '@poplarpick/fleet';
import type { ServiceLevels, WorkspaceLevels } from '@poplarpick/fleet';
import { build, decodeFromCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Burn rates of one objective of one workspace. */
export interface ObjectiveBurn extends BurnStatus {
  objective: Objective;
  target: number;
  /** Event counts over each of `BURN_WINDOWS_MS`. */
  counts: EventCounts[];
}

/** Percentile of a latency distribution. */
export interface PercentilePoint {
  percentile: number;
  ms: number;
}

/** Burn rates and latency percentiles of one workspace. */
export interface WorkspaceBurn {
  workspace: string;
  objectives: ServiceObjectives;
  burns: ObjectiveBurn[];
  firstToken: PercentilePoint[];
  tokenGap: PercentilePoint[];
}

/** Burn rate of one objective over all workspaces in one minute. */
export interface BurnPoint {
  startMs: number;
  objective: Objective;
  rate: number;
}

/** Burn report of a fleet. */
export interface BurnReport {
  /** Wall-clock time of the report in milliseconds since the Unix epoch. */
  madeAtMs: number;
  routers: string[];
  /** Processes that could not be queried and why; the report lacks their counts. */
  unreachable: string[];
  /** Shortest period that the counts of a router cover, in milliseconds. */
  coveredMs: number;
  windowsMs: readonly number[];
  /** Workspaces, the most urgent first. */
  workspaces: WorkspaceBurn[];
  /** Latency percentiles over all workspaces. */
  firstToken: PercentilePoint[];
  tokenGap: PercentilePoint[];
  series: BurnPoint[];
}

/** Options of `buildBurnReport`. */
export interface BurnReportOptions {
  levels: readonly ServiceLevels[];
  unreachable?: readonly string[];
  nowMs: number;
}

const PERCENTILES = [1, 10, 25, 50, 75, 90, 95, 99, 99.9];
const ALERTS_BY_URGENCY = [BurnAlert.Page, BurnAlert.Ticket, BurnAlert.None];

/** Builds the report from the service levels that the routers reported. */
export function buildBurnReport(options: BurnReportOptions): BurnReport {
  const { levels, nowMs, unreachable = [] } = options;
  const byWorkspace = new Map<string, WorkspaceLevels[]>();
  for (const entry of levels.flatMap(({ workspaces }) => workspaces)) {
    byWorkspace.set(entry.workspace, [...(byWorkspace.get(entry.workspace) ?? []), entry]);
  }
  const allEntries = [...byWorkspace.values()].flat();
  return {
    madeAtMs: nowMs,
    routers: levels.map(({ host }) => host).sort(),
    unreachable: [...unreachable],
    coveredMs: Math.min(...levels.map(({ coveredMs }) => coveredMs)),
    windowsMs: BURN_WINDOWS_MS,
    workspaces: [...byWorkspace].map(buildWorkspaceBurn).sort(compareUrgency),
    firstToken: computePercentiles(allEntries.map(({ firstToken }) => firstToken)),
    tokenGap: computePercentiles(allEntries.map(({ tokenGap }) => tokenGap)),
    series: buildSeries(allEntries),
  };
}

function buildWorkspaceBurn([workspace, entries]: [string, WorkspaceLevels[]]): WorkspaceBurn {
  const [{ objectives }] = entries as [WorkspaceLevels];
  const burns = OBJECTIVES.map((objective) => {
    const counts = BURN_WINDOWS_MS.map((windowMs) => sumWindowCounts(entries, windowMs, objective));
    const target = findTarget(objectives, objective);
    return { objective, target, counts, ...evaluateBurn(counts, target) };
  });
  return {
    workspace,
    objectives,
    burns,
    firstToken: computePercentiles(entries.map(({ firstToken }) => firstToken)),
    tokenGap: computePercentiles(entries.map(({ tokenGap }) => tokenGap)),
  };
}

function sumWindowCounts(
  entries: readonly WorkspaceLevels[],
  windowMs: number,
  objective: Objective,
): EventCounts {
  return entries
    .flatMap(({ windows }) => windows.filter((window) => window.windowMs === windowMs))
    .map(({ counts }) => counts[objective])
    .reduce(addCounts, { good: 0, total: 0 });
}

/**
 * Computes the burn rate of each minute over all workspaces. The rate of each workspace relates to its own
 * target and is weighted by its number of events.
 */
function buildSeries(entries: readonly WorkspaceLevels[]): BurnPoint[] {
  const sumsByPoint = new Map<string, BurnPoint & { weighted: number; total: number }>();
  for (const { objectives, series } of entries) {
    for (const { startMs, counts } of series) {
      for (const objective of OBJECTIVES) {
        const key = `${startMs} ${objective}`;
        const { total } = counts[objective];
        const rate = computeBurnRate(counts[objective], findTarget(objectives, objective));
        const sum = sumsByPoint.get(key) ?? { startMs, objective, rate: 0, weighted: 0, total: 0 };
        sum.weighted += rate * total;
        sum.total += total;
        sumsByPoint.set(key, sum);
      }
    }
  }
  return [...sumsByPoint.values()]
    .filter(({ total }) => total > 0)
    .map(({ startMs, objective, weighted, total }) => ({
      startMs,
      objective,
      rate: weighted / total,
    }))
    .sort((a, b) => a.startMs - b.startMs);
}

function computePercentiles(encoded: readonly string[]): PercentilePoint[] {
  const histogram = mergeHistograms(encoded);
  if (histogram.totalCount === 0) return [];
  return PERCENTILES.map((percentile) => ({
    percentile,
    ms: histogram.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS,
  }));
}

function mergeHistograms(encoded: readonly string[]): Histogram {
  const merged = build({
    bitBucketSize: 'packed',
    numberOfSignificantValueDigits: 2,
    autoResize: true,
  });
  for (const text of encoded) merged.add(decodeFromCompressedBase64(text, 'packed'));
  return merged;
}

/** Finds the most urgent alert over the objectives of a workspace. */
export function findMostUrgentAlert({ burns }: WorkspaceBurn): BurnAlert {
  return (
    ALERTS_BY_URGENCY.find((alert) => burns.some((burn) => burn.alert === alert)) ?? BurnAlert.None
  );
}

/** Finds the smallest remaining error budget over the objectives of a workspace. */
export function findMinBudgetLeft({ burns }: WorkspaceBurn): number {
  return Math.min(...burns.map(({ budgetLeft }) => budgetLeft));
}

function compareUrgency(a: WorkspaceBurn, b: WorkspaceBurn): number {
  const urgency =
    ALERTS_BY_URGENCY.indexOf(findMostUrgentAlert(a)) -
    ALERTS_BY_URGENCY.indexOf(findMostUrgentAlert(b));
  if (urgency !== 0) return urgency;
  return findMinBudgetLeft(a) - findMinBudgetLeft(b) || (a.workspace < b.workspace ? -1 : 1);
}
