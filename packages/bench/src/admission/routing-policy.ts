/** Ways to place and admit requests, from the simplest to the routers' own. */
import { affinityKey, rankByRendezvous } from '@poplarpick/decisions';
import type { Arrival } from './workload.ts';

/** What a policy decides about a request. */
export interface RoutingDecision {
  /** Number of the engine; undefined where the request is refused. */
  engineIndex: number | undefined;
  retryAfterMs: number;
}

/** An engine as a policy without a model sees it: what it has in flight. */
export interface EngineLoad {
  inFlight: number;
}

/** Decides, and is told what comes of it. */
export abstract class RoutingPolicy {
  abstract readonly name: string;
  abstract decide(
    arrival: Arrival,
    attempt: { isRetry: boolean; remainingMs: number; now: number },
    engines: readonly EngineLoad[],
  ): RoutingDecision;
  /** The first token of an accepted request came. */
  abstract recordFirstToken(arrival: Arrival, now: number): void;
  /** An accepted request is over, or its caller has left. */
  abstract recordEnded(arrival: Arrival, now: number): void;
  /** Time passes; what routers tell each other goes out. */
  abstract tick(now: number): void;
}

/** A policy that takes every request and learns nothing. */
abstract class SimplePolicy extends RoutingPolicy {
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

/** The engine with the fewest requests. */
export class LeastInFlightPolicy extends SimplePolicy {
  override readonly name = 'least in flight';

  override decide(
    _arrival: Arrival,
    _attempt: unknown,
    engines: readonly EngineLoad[],
  ): RoutingDecision {
    const least = Math.min(...engines.map(({ inFlight }) => inFlight));
    return {
      engineIndex: engines.findIndex(({ inFlight }) => inFlight === least),
      retryAfterMs: 0,
    };
  }
}

/** Requests over the mean that an engine may have before the next in rank is taken. */
const LOAD_BOUND = 1.25;

/** The first engine in the rank of the prompt's beginning that isn't much fuller than the mean. */
export class AffinityOnlyPolicy extends SimplePolicy {
  override readonly name = 'affinity only';

  override decide(
    arrival: Arrival,
    _attempt: unknown,
    engines: readonly EngineLoad[],
  ): RoutingDecision {
    const total = engines.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const bound = 1 + (total / engines.length) * LOAD_BOUND;
    const names = engines.map((_, index) => String(index));
    const ranked = rankByRendezvous(affinityKey(arrival.prompt), names).map(Number);
    const engine = ranked.find((index) => (engines[index]?.inFlight ?? 0) < bound);
    return { engineIndex: engine ?? ranked[0], retryAfterMs: 0 };
  }
}
