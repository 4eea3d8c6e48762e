/** Replays the routers' policy where engines give less than is configured, and measures who gets their part. */
import { Random } from '@poplarpick/load';
import { ENGINE_PARAMETERS, WORKLOAD } from './app.ts';
import { computeCreditReport } from './credit.ts';
import { findLeastServed } from './fairness.ts';
import type { WindowService } from './fairness.ts';
import { replay } from './replay.ts';
import { RouterPolicy } from './router-policy.ts';
import { generateArrivals } from './workload.ts';
import type { RequestKind } from './workload.ts';

const SECOND_MS = 1_000;

/** Options of `replayFairness`. */
export interface FairReplayOptions {
  seed: number;
  seconds: number;
  /** Factor on the request rates of the workload. */
  load: number;
  /** Engines that run. */
  engines: number;
  /** Engines from whose throughput the fair shares are computed. */
  configuredEngines: number;
  tokensPerEngine: number;
  routers: number;
  /** Largest deviation of callers' deadlines from those of their kind, as a fraction. */
  deadlineSpread: number;
  /** Whether a workspace sends requests of a kind; by default each sends all kinds. */
  sends?: (workspace: number, kind: RequestKind) => boolean;
}

/** What a replay gave. */
export interface FairReplayResult {
  leastServed: WindowService | undefined;
  /** Ratio of the earned to the owed credit. */
  credit: number;
}

/** Replays one seeded load. */
export function replayFairness(options: FairReplayOptions): FairReplayResult {
  const { seed, seconds, load, engines, configuredEngines, tokensPerEngine, routers } = options;
  const kinds = WORKLOAD.kinds.map((kind) => ({
    ...kind,
    requestsPerSecond: kind.requestsPerSecond * load,
  }));
  const { deadlineSpread, sends = () => true } = options;
  const arrivals = generateArrivals(
    { ...WORKLOAD, kinds, deadlineSpread, sends },
    { random: new Random(seed), routers, durationMs: seconds * SECOND_MS },
  );
  const tokensPerSecond = tokensPerEngine * configuredEngines;
  const policy = new RouterPolicy({
    routers,
    engines,
    engineParameters: ENGINE_PARAMETERS,
    kinds,
    tokensPerSecond,
    random: new Random(seed + 1),
  });
  const { finished } = replay({ arrivals, engines, engineParameters: ENGINE_PARAMETERS, policy });
  return {
    leastServed: findLeastServed(finished, seconds),
    credit: computeCreditReport(finished, tokensPerSecond).total,
  };
}
