/**
 * `flood`: one workspace sends fifty times its share while the others send less than theirs. Measures
 * the time to the first token of the others and counts starved workspaces.
 */
import { CallOutcome, sum } from '@poplarpick/load';
import { Demand, planArrivals } from '../fairness/arrivals.ts';
import type { Arrival } from '../fairness/arrivals.ts';
import { parseRunOptions } from '../fairness/app.ts';
import { computeModelSlotBudgets, planRunSite, runLive, STEP_MS } from '../fairness/live-run.ts';
import type { LiveRun } from '../fairness/live-run.ts';
import { measureWeightedService } from '../fairness/run-trace.ts';

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 4_000;
const QUEUE_LIMIT = 200;
const FLOOD_FACTOR = 50;
const LIGHT_SHARE = 0.4;
/** A workspace starves below this fraction of the smaller of its demand and its share. */
const STARVATION_THRESHOLD = 0.5;

/** Entry of the `flood` command. */
export const floodCommand = {
  name: 'flood',
  summary:
    'first token of the others while one workspace floods  [--size izvor|trinacria] [--routers N] [--seed N] [--seconds N] [--json]',
  run: runFlood,
};

async function runFlood(args: string[]): Promise<void> {
  const options = parseRunOptions(args);
  const { size, routers, seed, durationMs } = options;
  const plan = planRunSite(size, QUEUE_LIMIT);
  const slots = sum([...computeModelSlotBudgets(plan).values()]);
  const arrivals = planArrivals({
    plan,
    seed,
    routers,
    durationMs,
    tokensPerSecond: (slots * MS_PER_SECOND) / STEP_MS,
    // The last workspace floods; it is a small one, while the large ones have weight 4.
    demandOf: (index) => (index === plan.workspaces.length - 1 ? Demand.Flooding : Demand.Light),
    demandMultiples: { [Demand.Flooding]: FLOOD_FACTOR, [Demand.Light]: LIGHT_SHARE },
  });
  const span = { fromMs: WARM_UP_MS, toMs: durationMs };
  const live = await runLive({ plan, routers, arrivals, span });
  const firstTokenTimes = listFirstTokenTimes(live, span.fromMs);
  const result = {
    firstTokenP95Seconds: percentile(firstTokenTimes, 0.95) / MS_PER_SECOND,
    firstTokenP50Seconds: percentile(firstTokenTimes, 0.5) / MS_PER_SECOND,
    starvedWorkspaces: countStarved(live, arrivals, span),
    failedOfOthers: live.results.filter(
      ({ arrival, result: { outcome } }) =>
        arrival.demand === Demand.Light &&
        arrival.arrivalMs < durationMs - WARM_UP_MS &&
        outcome !== CallOutcome.Complete,
    ).length,
    refusals: live.refusals,
    utilisation: live.utilisation,
    controlBytesPerNodeSecond: live.control.bytesPerNodeSecond,
    requests: arrivals.length,
    ...options,
  };
  if (!options.json) console.table(result);
  console.log(JSON.stringify(result));
}

function listFirstTokenTimes(live: LiveRun, fromMs: number): number[] {
  return live.trace.requests
    .filter(({ arrival }) => arrival.demand === Demand.Light && arrival.arrivalMs >= fromMs)
    .map(({ arrival, tokensAt }) => (tokensAt[0] ?? Infinity) - arrival.arrivalMs)
    .sort((a, b) => a - b);
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Counts the workspaces that received less than half of the smaller of their demand and their share. */
function countStarved(
  live: LiveRun,
  arrivals: readonly Arrival[],
  span: { fromMs: number; toMs: number },
): number {
  const service = measureWeightedService(live.trace, span);
  const totalWeight = sum([...live.trace.weights.values()]);
  const totalService = sum(
    [...live.trace.weights].map(([name, weight]) => (service.get(name) ?? 0) * weight),
  );
  return [...live.trace.weights].filter(([name, weight]) => {
    const demanded = arrivals
      .filter(({ workspace, arrivalMs }) => workspace === name && arrivalMs >= span.fromMs)
      .reduce((sum, { outputTokens }) => sum + outputTokens, 0);
    const entitled = Math.min(demanded, (totalService * weight) / totalWeight);
    return (service.get(name) ?? 0) * weight < STARVATION_THRESHOLD * entitled;
  }).length;
}
