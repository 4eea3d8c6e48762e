/**
 * `fairness`: measures the gap in service between backlogged workspaces for the fleet, and for each
 * baseline policy on the same arrivals and costs, in units of the largest request's cost.
 */
import { parseArgs } from 'node:util';
import { Demand, planArrivals } from './arrivals.ts';
import { computeModelSlotBudgets, planRunSite, runLive, STEP_MS } from './live-run.ts';
import type { LiveRun } from './live-run.ts';
import { replayArrivals, ReplayPolicy, computeReplayUtilisation } from './replay.ts';
import type { Replay } from './replay.ts';
import { findLargestCost, measureFairnessGap, measureWeightedService } from './run-trace.ts';
import type { RunTrace, Span } from './run-trace.ts';

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 4_000;
const QUEUE_LIMIT = 100_000;

/** Entry of the `fairness` command. */
export const fairnessCommand = {
  name: 'fairness',
  summary:
    'gap in service between workspaces  [--size izvor|trinacria] [--routers N] [--seed N] [--seconds N] [--json]',
  run: runFairness,
};

/** Parses the options that the commands `fairness`, `utilisation` and `flood` share. */
export function parseRunOptions(args: string[]) {
  const { values } = parseArgs({
    args,
    options: {
      size: { type: 'string', default: 'izvor' },
      routers: { type: 'string', default: '4' },
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '45' },
      json: { type: 'boolean', default: false },
    },
  });
  const { size, json } = values;
  const durationMs = Number(values.seconds) * MS_PER_SECOND;
  return { size, json, durationMs, routers: Number(values.routers), seed: Number(values.seed) };
}

/** Service gaps of one run in units of the largest request's cost. */
interface GapRow {
  max: number;
  p99: number;
  /** Largest gap in the last quarter of the span divided by that in the second quarter. */
  lateToEarly: number;
}

/** Sends the default arrivals through a fleet; `replay` runs the same arrivals under a baseline policy. */
export async function runStandardLoad(options: ReturnType<typeof parseRunOptions>) {
  const { size, routers, seed, durationMs } = options;
  const plan = planRunSite(size, QUEUE_LIMIT);
  const engines = [...computeModelSlotBudgets(plan).values()].map((slots) => ({ slots }));
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const tokensPerSecond = (slots * MS_PER_SECOND) / STEP_MS;
  const plannedArrivals = planArrivals({ plan, seed, routers, durationMs, tokensPerSecond });
  const span = { fromMs: WARM_UP_MS, toMs: durationMs };
  const live = await runLive({ plan, routers, arrivals: plannedArrivals, span });
  const arrivals = live.trace.requests
    .map(({ arrival }) => arrival)
    .sort((a, b) => a.arrivalMs - b.arrivalMs);
  const replay = (policy: ReplayPolicy): Replay =>
    replayArrivals({ arrivals, engines, policy, stepMs: STEP_MS, weights: live.trace.weights });
  return { live, span, engines, replay };
}

async function runFairness(args: string[]): Promise<void> {
  const options = parseRunOptions(args);
  const { live, span, engines, replay } = await runStandardLoad(options);
  const idealReplay = replay(ReplayPolicy.GlobalQueue);
  const largestCost = findLargestCost(live.trace);
  const gapRows: Record<string, GapRow> = { fleet: computeGapRow(live.trace, span, largestCost) };
  for (const policy of Object.values(ReplayPolicy))
    gapRows[policy] = computeGapRow(replay(policy), span, largestCost);
  const fleetRow = gapRows['fleet'] ?? createEmptyRow();
  const idealRow = gapRows[ReplayPolicy.GlobalQueue] ?? createEmptyRow();
  const hintedRow = gapRows[ReplayPolicy.GlobalQueueWithHints] ?? createEmptyRow();
  const idealUtilisation = computeReplayUtilisation(idealReplay, engines, span);
  if (!options.json) printTables(gapRows, live, idealReplay, span);
  console.log(
    JSON.stringify({
      fairnessGapMax: fleetRow.max,
      fairnessGapP99: fleetRow.p99,
      gapRatioToGlobalQueue: fleetRow.max / idealRow.max,
      gapRatioToGlobalQueueWithHints: fleetRow.max / hintedRow.max,
      gapP99RatioToGlobalQueue: fleetRow.p99 / idealRow.p99,
      gapLateToEarly: fleetRow.lateToEarly,
      gapLateToEarlyOfGlobalQueue: idealRow.lateToEarly,
      utilisation: live.utilisation,
      utilisationOfIdeal: live.utilisation / idealUtilisation,
      controlBytesPerNodeSecond: live.control.bytesPerNodeSecond,
      controlMessagesPerNodeSecond: live.control.messagesPerNodeSecond,
      controlBytesSentByBusiestPerSecond: live.control.maxBytesSentPerSecond,
      requests: live.trace.requests.length,
      refusals: live.refusals,
      ...options,
    }),
  );
}

function computeGapRow(trace: RunTrace, span: Span, unit: number): GapRow {
  const quarter = (span.toMs - span.fromMs) / 4;
  const measureQuarter = (index: number): number => {
    const fromMs = span.fromMs + quarter * index;
    return measureFairnessGap(trace, { fromMs, toMs: fromMs + quarter }).max;
  };
  const { max, p99 } = measureFairnessGap(trace, span);
  return { max: max / unit, p99: p99 / unit, lateToEarly: measureQuarter(3) / measureQuarter(1) };
}

function createEmptyRow(): GapRow {
  return { max: 0, p99: 0, lateToEarly: 0 };
}

function printTables(rows: Record<string, GapRow>, live: LiveRun, ideal: Replay, span: Span): void {
  const fleetService = measureWeightedService(live.trace, span);
  const idealService = measureWeightedService(ideal, span);
  const demands = new Map(
    live.trace.requests.map(({ arrival }) => [arrival.workspace, arrival.demand]),
  );
  const workspaceRows = [...live.trace.weights].map(([workspace, weight]) => ({
    workspace,
    demand: demands.get(workspace) ?? Demand.Light,
    weight,
    fleet: Math.round(fleetService.get(workspace) ?? 0),
    globalQueue: Math.round(idealService.get(workspace) ?? 0),
  }));
  console.table(rows);
  console.table(workspaceRows);
}
