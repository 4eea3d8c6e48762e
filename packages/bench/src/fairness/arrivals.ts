/**
 * Seeded arrivals for the measures of fairness: workspaces that stay backlogged, one that floods,
 * some that come in bursts and some that ask little, each spread unevenly over the routers. Costs are
 * heavy-tailed; the hint that goes with a request is too high by a factor that differs each time.
 */
import { Random } from '@poplarpick/load';
import type { SitePlan } from '@poplarpick/stand-ins';

/** How a workspace sends its requests. */
export enum Demand {
  /** Many times its share. */
  Flooding = 'flooding',
  /** More than its share all the time. */
  Backlogged = 'backlogged',
  /** Groups of requests with pauses between them. */
  Bursty = 'bursty',
  /** Less than its share. */
  Light = 'light',
}

/** One request to be sent. */
export interface Arrival {
  id: number;
  workspace: string;
  demand: Demand;
  /** Index of the router. */
  router: number;
  /** Milliseconds from the start of the run. */
  arrivalMs: number;
  outputTokens: number;
  /** Limit that the caller gives, which is all that the fleet knows beforehand. */
  maxTokens: number;
}

/** Options of `planArrivals`. */
export interface PlanArrivalsOptions {
  plan: SitePlan;
  seed: number;
  routers: number;
  durationMs: number;
  /** Output tokens per second of all slots together. */
  tokensPerSecond: number;
  /** Demand of each kind, as a multiple of the workspace's share. */
  demandMultiples?: Partial<Record<Demand, number>>;
  /** Kind of each workspace by its index. */
  demandOf?: (index: number) => Demand;
}

const MIN_TOKENS = 12;
const MAX_TOKENS = 120;
/** Mean of the heavy-tailed lengths before the workspace's factor. */
const MEAN_TOKENS = 28;
const MAX_HINT_FACTOR = 4;
const BURST_PERIOD_MS = 4_000;
/** Share of a workspace's requests that go to its own router. */
const HOME_ROUTER_SHARE = 0.75;

const DEFAULT_DEMAND_MULTIPLES: Record<Demand, number> = {
  [Demand.Flooding]: 4,
  [Demand.Backlogged]: 1.6,
  [Demand.Bursty]: 1,
  [Demand.Light]: 0.3,
};

/** The usual mix: the first floods, ten in all stay backlogged, three are bursty, three light. */
function defaultDemand(index: number): Demand {
  if (index === 0) return Demand.Flooding;
  if (index < 10) return Demand.Backlogged;
  return index < 13 ? Demand.Bursty : Demand.Light;
}

/** Plans all arrivals of a run, in the order of their time. */
export function planArrivals(options: PlanArrivalsOptions): Arrival[] {
  const { plan, seed } = options;
  const totalWeight = plan.workspaces.reduce((sum, { weight }) => sum + weight, 0);
  const arrivals = plan.workspaces.flatMap(({ name, weight }, index) => {
    const demand = (options.demandOf ?? defaultDemand)(index);
    const multiple = { ...DEFAULT_DEMAND_MULTIPLES, ...options.demandMultiples }[demand];
    const lengthFactor = 0.7 + (index % 4) * 0.25;
    const tokensPerSecond = (options.tokensPerSecond * multiple * weight) / totalWeight;
    const requestsPerSecond = tokensPerSecond / (MEAN_TOKENS * lengthFactor);
    const random = new Random(seed * 1_000 + index);
    return sampleArrivalTimes(random, demand, requestsPerSecond, options.durationMs).map(
      (arrivalMs) =>
        createArrival({
          random,
          workspace: name,
          demand,
          arrivalMs,
          lengthFactor,
          homeRouter: index,
          options,
        }),
    );
  });
  return arrivals
    .sort((a, b) => a.arrivalMs - b.arrivalMs || (a.workspace < b.workspace ? -1 : 1))
    .map((arrival, id) => ({ ...arrival, id }));
}

function sampleArrivalTimes(
  random: Random,
  demand: Demand,
  requestsPerSecond: number,
  untilMs: number,
) {
  const times: number[] = [];
  for (let at = random.interarrivalMs(requestsPerSecond); at < untilMs;) {
    times.push(at);
    at += random.interarrivalMs(requestsPerSecond);
  }
  if (demand !== Demand.Bursty) return times;
  return times.map((at) => Math.floor(at / BURST_PERIOD_MS) * BURST_PERIOD_MS);
}

interface ArrivalDraft {
  random: Random;
  workspace: string;
  demand: Demand;
  arrivalMs: number;
  lengthFactor: number;
  /** Index that the workspace's own router follows from. */
  homeRouter: number;
  options: PlanArrivalsOptions;
}

function createArrival(draft: ArrivalDraft): Arrival {
  const { random, workspace, demand, arrivalMs, lengthFactor, homeRouter, options } = draft;
  const sampledTokens = random.boundedPareto(MIN_TOKENS, MAX_TOKENS) * lengthFactor;
  const outputTokens = Math.max(1, Math.round(sampledTokens));
  const maxTokens = Math.ceil(outputTokens * (1 + random.uniform() * (MAX_HINT_FACTOR - 1)));
  const isHome = random.uniform() < HOME_ROUTER_SHARE;
  const router = (isHome ? homeRouter : random.integer(options.routers)) % options.routers;
  return { id: 0, workspace, demand, router, arrivalMs, outputTokens, maxTokens };
}
