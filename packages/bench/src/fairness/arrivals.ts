/**
 * Seeded arrivals for the fairness measurements. Most workspaces stay backlogged, one floods, some
 * send bursts and some send less than their share; each sends most requests to one router. Costs are
 * heavy-tailed, and `max_tokens` of a request exceeds its true length by a random factor.
 */
import { Random } from '@poplarpick/load';
import type { SitePlan } from '@poplarpick/stand-ins';

/** Demand pattern of a workspace. */
export enum Demand {
  /** Sends a multiple of its share. */
  Flooding = 'flooding',
  /** Sends more than its share all the time. */
  Backlogged = 'backlogged',
  /** Sends groups of requests with pauses between them. */
  Bursty = 'bursty',
  /** Sends less than its share. */
  Light = 'light',
}

/** One planned request. */
export interface Arrival {
  id: number;
  workspace: string;
  demand: Demand;
  /** Index of the router. */
  router: number;
  /** Milliseconds from the start of the run. */
  arrivalMs: number;
  outputTokens: number;
  /** `max_tokens` of the request: the only hint about its length that the fleet has in advance. */
  maxTokens: number;
}

/** Options of `planArrivals`. */
export interface PlanArrivalsOptions {
  plan: SitePlan;
  seed: number;
  routers: number;
  durationMs: number;
  /** Output tokens per second of all slots combined. */
  tokensPerSecond: number;
  /** Load of each demand pattern, as a multiple of the workspace's share. */
  demandMultiples?: Partial<Record<Demand, number>>;
  /** Returns the demand pattern of the workspace with an index. */
  demandOf?: (index: number) => Demand;
}

const MIN_TOKENS = 12;
const MAX_TOKENS = 120;
/** Mean of the heavy-tailed lengths before they are scaled by the workspace's `lengthFactor`. */
const MEAN_TOKENS = 28;
const MAX_HINT_FACTOR = 4;
const BURST_PERIOD_MS = 4_000;
/** Share of a workspace's requests that always go to its home router; the others go to a random one. */
const HOME_ROUTER_SHARE = 0.75;

const DEFAULT_DEMAND_MULTIPLES: Record<Demand, number> = {
  [Demand.Flooding]: 4,
  [Demand.Backlogged]: 1.6,
  [Demand.Bursty]: 1,
  [Demand.Light]: 0.3,
};

/** Default mix: the first floods, the next nine are backlogged, then three bursty; the rest are light. */
function defaultDemand(index: number): Demand {
  if (index === 0) return Demand.Flooding;
  if (index < 10) return Demand.Backlogged;
  return index < 13 ? Demand.Bursty : Demand.Light;
}

/** Plans all arrivals of a run, in order of arrival time. */
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
  /** Index of the workspace's home router, modulo the number of routers. */
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
