/**
 * Admission of one request at its best endpoint: accept, or refuse at once with the time after which
 * to come back. Pattern: more is asked than the engines can read. Accepting all makes all late, so
 * the wait ahead of a request is bounded; a workspace that has had its share gives way first, and a
 * request that was refused before goes before new ones. The request's own reading doesn't count: a
 * long prompt waits no longer than a short one.
 */

/** What is known of a request at the moment of its admission. */
export interface AdmissionInput {
  /** Time until the best endpoint would begin with the request, in ms. */
  waitMs: number;
  /** Time from then to its first event, in ms. */
  serviceMs: number;
  /** Time within which its first event is on time, in ms. */
  objectiveMs: number;
  /** Time that its caller still waits, in ms. */
  leftMs: number;
  /** Its workspace has had its fair share of the window. */
  isOverShare: boolean;
  /** It was refused before and has come back. */
  isReturning: boolean;
}

/** What becomes of a request. */
export interface Admission {
  isAccepted: boolean;
  /** Time after which a refused request may come back, in ms. */
  retryAfterMs: number;
}

/** Longest wait in objectives: over its share, within its share, and for one that came back. */
const WAIT_LIMIT = { overShare: 0.03, usual: 0.9, returning: 1.5 };

/** Share of the time left that may pass before the first event. */
const LEFT_SHARE = 0.8;

/** Bounds of the time after which a request may come back, in ms. */
const RETRY_LIMITS_MS = { least: 150, most: 2_000 };

/** Decides about one request. `random` in 0..1 spreads the returns. */
export function admitRequest(input: AdmissionInput, random: number): Admission {
  const limitMs = waitLimit(input) * input.objectiveMs;
  const fits = input.waitMs + input.serviceMs < input.leftMs * LEFT_SHARE;
  if (input.waitMs <= limitMs && fits) return { isAccepted: true, retryAfterMs: 0 };
  const excessMs = Math.max(input.waitMs - limitMs, 0) + input.objectiveMs * (0.25 + random / 2);
  const retryAfterMs = Math.min(RETRY_LIMITS_MS.most, Math.max(RETRY_LIMITS_MS.least, excessMs));
  return { isAccepted: false, retryAfterMs };
}

function waitLimit(input: AdmissionInput): number {
  if (input.isOverShare) return WAIT_LIMIT.overShare;
  return input.isReturning ? WAIT_LIMIT.returning : WAIT_LIMIT.usual;
}
