/**
 * Decides during a planned stop of a router whether a request, or a further attempt of it, is still sent to an
 * endpoint: only if what is left of the grace can hold its answer. What was sent and isn't answered by the end may
 * have run, so it can't be refused any more.
 */
import type { ExpectedDuration } from './duration-estimate.ts';

/** Time that an answer takes from the router to its caller, and an endpoint's own answer at the deadline, in ms. */
const ANSWER_MARGIN_MS = 100;

/** A request that could be sent now. */
export interface GraceNeed {
  /** Time until the router ends its calls, in ms. */
  graceLeftMs: number;
  /** Time until the request's deadline, in ms. Then it ends in any case. */
  deadlineLeftMs: number;
  /** What is known of the answers of its route; undefined if nothing is. */
  duration: ExpectedDuration | undefined;
  /**
   * The cutoff of the stop has passed. Until then the load balancer may still send requests here, so one that will
   * likely be answered is served; later a caller does better elsewhere unless the answer is nearly certain.
   */
  isPastCutoff: boolean;
  /** It is a stream that can go on at another router if it breaks off here. */
  isResumable: boolean;
}

/** Whether the rest of the grace can hold the request. */
export function fitsGrace(need: GraceNeed): boolean {
  const { deadlineLeftMs, duration, isPastCutoff, isResumable } = need;
  const leftMs = need.graceLeftMs - ANSWER_MARGIN_MS;
  if (leftMs <= 0) return false;
  if (deadlineLeftMs <= leftMs) return true;
  if (isResumable && !isPastCutoff) return true;
  if (duration === undefined) return !isPastCutoff;
  return (isPastCutoff ? duration.longMs : duration.likelyMs) <= leftMs;
}
