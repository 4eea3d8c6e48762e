/** Replays the routers' policy where engines give less than is configured, and measures who gets their part. */
import { computeCreditReport } from './credit.ts';
import { findLeastServed } from './fairness.ts';
import type { WindowService } from './fairness.ts';
import { replay } from './replay.ts';
import { ENGINE_PARAMETERS, prepareReplay } from './simulated-fleet.ts';
import type { LoadOptions } from './simulated-fleet.ts';

/** Options of `replayFairness`. */
export interface FairReplayOptions extends LoadOptions {
  /** Engines that run. */
  engines: number;
  /** Engines from whose throughput the fair shares are computed. */
  configuredEngines: number;
  tokensPerEngine: number;
}

/** What a replay gave. */
export interface FairReplayResult {
  leastServed: WindowService | undefined;
  /** Ratio of the earned to the owed credit. */
  credit: number;
}

/** Replays one seeded load. */
export function replayFairness(options: FairReplayOptions): FairReplayResult {
  const { seconds, engines, configuredEngines, tokensPerEngine } = options;
  const tokensPerSecond = tokensPerEngine * configuredEngines;
  const { arrivals, policy } = prepareReplay({ ...options, tokensPerSecond });
  const { finished } = replay({ arrivals, engines, engineParameters: ENGINE_PARAMETERS, policy });
  return {
    leastServed: findLeastServed(finished, seconds),
    credit: computeCreditReport(finished, tokensPerSecond).total,
  };
}
