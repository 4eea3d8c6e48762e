/**
 * Decides whether a request that has no response yet is also sent to a second endpoint (hedging).
 *
 * Load pattern: capacity is ample, and a few requests are late because their endpoint is slow for a moment. A hedge
 * helps if the other endpoint can still be on time. It never helps under overload, where it would be one request
 * more for endpoints that have too many, so it needs a free slot without a queue.
 */
import { isRepeatable } from '../forwarding/routing-table.ts';
import type { Route } from '../forwarding/routing-table.ts';

/** How much longer than expected a request may take before it counts as slow. */
const SLOW_FACTOR = 2;

/** Fraction of the objective before which no request counts as slow. */
const MIN_DELAY_FRACTION = 0.3;

/** Longest wait at the second endpoint, as a fraction of the objective. */
const MAX_WAIT_FRACTION = 0.05;

/** Whether requests of a route may run at two endpoints at once. */
export function allowsHedging(route: Route): boolean {
  return route.maxAttempts >= 2 && isRepeatable(route);
}

/**
 * Time after sending at which a request without a response counts as slow, in ms; undefined if it would be late
 * by then whatever is done. `expectedMs` is the estimated time to its first event.
 */
export function hedgeDelayMs(expectedMs: number, objectiveMs: number): number | undefined {
  const delayMs = Math.max(expectedMs * SLOW_FACTOR, objectiveMs * MIN_DELAY_FRACTION);
  return delayMs < objectiveMs ? delayMs : undefined;
}

/** The second endpoint of a slow request. */
export interface HedgeCandidate {
  /** Time since the arrival of the request, in ms. */
  elapsedMs: number;
  objectiveMs: number;
  /** Estimated wait and time from its end to the first event, in ms. */
  waitMs: number;
  serviceMs: number;
  hasFreeSlot: boolean;
  isUnhealthy: boolean;
}

/** Whether the request can still be on time at the second endpoint without delaying others there. */
export function isHedgeWorthwhile(candidate: HedgeCandidate): boolean {
  const { elapsedMs, objectiveMs, waitMs, serviceMs, hasFreeSlot, isUnhealthy } = candidate;
  if (!hasFreeSlot || isUnhealthy) return false;
  if (waitMs > objectiveMs * MAX_WAIT_FRACTION) return false;
  return elapsedMs + waitMs + serviceMs < objectiveMs;
}
