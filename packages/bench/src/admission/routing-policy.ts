/** The interface of policies that place and admit requests, and two simple ones for comparison. */
import { affinityKey, rankByRendezvous } from '@poplarpick/decisions';
import type { Arrival } from './workload.ts';

/** A policy's decision on a request. */
export interface RoutingDecision {
  /** Index of the chosen engine; undefined if the request is refused. */
  engineIndex: number | undefined;
  retryAfterMs: number;
}

/** Number of requests in flight at an engine: all that the simple policies know of it. */
export interface EngineLoad {
  inFlight: number;
}

/** Places and admits requests, and receives feedback on their progress. */
export abstract class RoutingPolicy {
  abstract readonly name: string;
  abstract decide(
    arrival: Arrival,
    attempt: { isRetry: boolean; remainingMs: number; now: number },
    engines: readonly EngineLoad[],
  ): RoutingDecision;
  /** Records that an accepted request has produced its first token. */
  abstract recordFirstToken(arrival: Arrival, now: number): void;
  /** Records that an accepted request has finished, or that its caller has given up. */
  abstract recordEnded(arrival: Arrival, now: number): void;
  /** Advances the policy's time; routers exchange their reports here. */
  abstract tick(now: number): void;
}

/** A policy that accepts every request and ignores feedback. */
abstract class StatelessPolicy extends RoutingPolicy {
  override recordFirstToken(): void {
    return;
  }

  override recordEnded(): void {
    return;
  }

  override tick(): void {
    return;
  }
}

/** Picks the engine with the fewest requests in flight. */
export class LeastInFlightPolicy extends StatelessPolicy {
  override readonly name = 'least in flight';

  override decide(
    _arrival: Arrival,
    _attempt: unknown,
    engines: readonly EngineLoad[],
  ): RoutingDecision {
    const fewest = Math.min(...engines.map(({ inFlight }) => inFlight));
    return {
      engineIndex: engines.findIndex(({ inFlight }) => inFlight === fewest),
      retryAfterMs: 0,
    };
  }
}

/** Load of an engine, relative to the mean, from which the next engine in rank is used. */
const LOAD_BOUND_FACTOR = 1.25;

/** Rendezvous hashing on the prompt's prefix with bounded load: skips engines well above the mean load. */
export class AffinityOnlyPolicy extends StatelessPolicy {
  override readonly name = 'affinity only';

  override decide(
    arrival: Arrival,
    _attempt: unknown,
    engines: readonly EngineLoad[],
  ): RoutingDecision {
    const total = engines.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const maxInFlight = 1 + (total / engines.length) * LOAD_BOUND_FACTOR;
    const names = engines.map((_, index) => String(index));
    const ranked = rankByRendezvous(affinityKey(arrival.prompt), names).map(Number);
    const engine = ranked.find((index) => (engines[index]?.inFlight ?? 0) < maxInFlight);
    return { engineIndex: engine ?? ranked[0], retryAfterMs: 0 };
  }
}
