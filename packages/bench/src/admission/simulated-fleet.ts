/** The fleet and the load that replays of the routers' policy simulate. */
import { Random } from '@poplarpick/load';
import type { EngineParameters } from './engine-model.ts';
import { RouterPolicy } from './router-policy.ts';
import { generateArrivals } from './workload.ts';
import type { Arrival, Workload } from './workload.ts';

const SECOND_MS = 1_000;

/** One simulated engine. */
export const ENGINE_PARAMETERS: EngineParameters = {
  slots: 64,
  baseStepMs: 3.6,
  stepMsPerRequest: 0.08,
  prefillTokensPerMs: 120,
  maxPrefillChunkTokens: 4_096,
  kvCacheTokens: 900_000,
};

/** A mix of long reviews, short answers and classifications, sized for engines of `ENGINE_PARAMETERS`. */
const WORKLOAD: Workload = {
  workspaces: 16,
  floods: { rateFactor: 7, durationMs: 7_000, intervalMs: 4_000 },
  kinds: [
    {
      name: 'review',
      requestsPerSecond: 30,
      prefixLevels: [
        { prefixes: 1, tokens: 500 },
        { prefixes: 280, tokens: 4_900 },
      ],
      uniqueTokens: 6_600,
      outputTokens: 350,
      objectiveMs: 600,
      deadlineMs: 15_000,
      credit: 4,
      lateCreditShare: 0.3,
    },
    {
      name: 'answer',
      requestsPerSecond: 40,
      prefixLevels: [
        { prefixes: 20, tokens: 120 },
        { prefixes: 150, tokens: 80 },
      ],
      uniqueTokens: 620,
      outputTokens: 280,
      objectiveMs: 350,
      deadlineMs: 12_000,
      credit: 2.1,
      lateCreditShare: 0.3,
    },
    {
      name: 'label',
      requestsPerSecond: 55,
      prefixLevels: [
        { prefixes: 40, tokens: 340 },
        { prefixes: 480, tokens: 230 },
      ],
      uniqueTokens: 1_800,
      outputTokens: 22,
      objectiveMs: 400,
      deadlineMs: 3_000,
      credit: 0.4,
      lateCreditShare: 0.3,
    },
  ],
};

/** Options of a seeded load. */
export interface LoadOptions {
  seed: number;
  seconds: number;
  /** Factor on the request rates of the workload. */
  load: number;
  routers: number;
  /** Largest deviation of callers' deadlines from those of their kind, as a fraction; none by default. */
  deadlineSpread?: number;
  /** Whether a workspace sends requests of a kind; by default each sends all kinds. */
  sends?: Workload['sends'];
}

/** Options of `prepareReplay`. */
export interface ReplaySetUpOptions extends LoadOptions {
  engines: number;
  /** Configured throughput of all engines, from which the fair shares are computed. */
  tokensPerSecond: number;
}

/** What a replay needs. */
export interface ReplaySetUp {
  arrivals: Arrival[];
  /** The routers' own policy. */
  policy: RouterPolicy;
}

/** Generates the arrivals of a seeded load, and the routers that decide on them. */
export function prepareReplay(options: ReplaySetUpOptions): ReplaySetUp {
  const { seed, seconds, load, routers, deadlineSpread = 0, sends } = options;
  const { engines, tokensPerSecond } = options;
  const kinds = WORKLOAD.kinds.map((kind) => ({
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * load,
  }));
  const arrivals = generateArrivals(
    { ...WORKLOAD, kinds, deadlineSpread, ...(sends === undefined ? {} : { sends }) },
    { random: new Random(seed), routers, durationMs: seconds * SECOND_MS },
  );
  const random = new Random(seed + 1);
  const engineParameters = ENGINE_PARAMETERS;
  const policy = new RouterPolicy({
    routers,
    engines,
    engineParameters,
    kinds,
    tokensPerSecond,
    random,
  });
  return { arrivals, policy };
}
