/**
 * Admission of one request at its best endpoint: accept, or refuse at once with the time after which
 * to come back. Pattern: more is asked than the engines can read. Accepting all makes all late, so
 * the wait ahead of a request is bounded; a workspace that has had its share gives way first. Where
 * workspaces contend, the share goes to requests that can still be on time, and those that were refused
 * before have the surplus; where none contends, they go before new ones. Of the surplus, workspaces
 * that got less of it may wait longer for more. The request's own reading doesn't count: a long prompt
 * waits no longer than a short one.
 */
import type { ShareUsage } from './max-min-share.ts';

/** What is known of a request at the moment of its admission. */
export interface AdmissionInput {
  /** Time until the best endpoint would begin with the request, in ms. */
  waitMs: number;
  /** Time from then to its first event, in ms. */
  serviceMs: number;
  /** Time within which its first event is on time, in ms. */
  objectiveMs: number;
  /** Time that its caller still waits, in ms. */
  remainingMs: number;
  /** What its workspace has had of its fair shares of the window. */
  shareUsage: ShareUsage;
  /** Longest wait beyond the share, in objectives. */
  surplusWaitLimit: number;
  /** It was refused before and has come back. */
  isCallerRetry: boolean;
}

/** What becomes of a request. */
export interface AdmissionDecision {
  isAccepted: boolean;
  /** Its workspace has had its share. */
  isOverShare: boolean;
  /** Time after which a refused request may come back, in ms. */
  retryAfterMs: number;
}

/** Longest wait in objectives within the share: for a new request, and for one that came back. */
const WAIT_LIMIT = { usual: 0.9, returning: 1.5 };

/** Share of the time left that may pass before the first event. */
const LEFT_SHARE = 0.8;

/** Share that a contended workspace must have had before its returning requests wait for the surplus. */
const RETURNING_SHARE = 0.05;

/** Share of the surplus beyond which a workspace leaves it to others that were refused. */
const SURPLUS_LIMIT = 1;

/** Use of the surplus up to which a workspace is behind in full, and from which it isn't. */
const BEHIND_USE = { full: 0.4, none: 0.8 };

/** Longest wait in objectives beyond the share of a workspace that is behind. */
const BEHIND_LIMIT = 0.12;

/** Wait limit beyond the share under which the surplus is contended. */
const CONTENDED_LIMIT = 0.3;

/** Bounds of the time after which a request may come back, in ms. */
const RETRY_LIMITS_MS = { least: 150, most: 2_000 };

/** Time after which a workspace beyond its share may come back, in ms: when its share has moved on. */
const SHARE_RETRY_MS = { base: 1_000, spread: 2_000 };

/** Decides about one request. `random` in 0..1 spreads the returns. */
export function decideAdmission(input: AdmissionInput, random: number): AdmissionDecision {
  const isOverShare = input.shareUsage.shareUsed >= (input.isCallerRetry ? RETURNING_SHARE : 1);
  const limitMs = waitLimit(input, isOverShare) * input.objectiveMs;
  const fits = input.waitMs + input.serviceMs < input.remainingMs * LEFT_SHARE;
  const isGreedy =
    input.shareUsage.surplusUsed > SURPLUS_LIMIT && input.surplusWaitLimit < CONTENDED_LIMIT;
  if (input.waitMs <= limitMs && fits && !isGreedy)
    return { isAccepted: true, isOverShare, retryAfterMs: 0 };
  const retryAfterMs = isOverShare
    ? SHARE_RETRY_MS.base + SHARE_RETRY_MS.spread * random
    : returnAfterWait(input, limitMs, random);
  return { isAccepted: false, isOverShare, retryAfterMs };
}

/** The time until the wait is short enough, spread out so that not all return at once. */
function returnAfterWait(input: AdmissionInput, limitMs: number, random: number): number {
  const excessMs = Math.max(input.waitMs - limitMs, 0) + input.objectiveMs * (0.25 + random / 2);
  return Math.min(RETRY_LIMITS_MS.most, Math.max(RETRY_LIMITS_MS.least, excessMs));
}

function waitLimit(input: AdmissionInput, isOverShare: boolean): number {
  if (isOverShare) return surplusWait(input.shareUsage.surplusUsed, input.surplusWaitLimit);
  return input.isCallerRetry ? WAIT_LIMIT.returning : WAIT_LIMIT.usual;
}

/** A workspace that is behind in the surplus may wait longer for it than one that has much of it. */
function surplusWait(ofSurplus: number, usual: number): number {
  const { full, none } = BEHIND_USE;
  const behind = Math.min(1, Math.max(0, (none - ofSurplus) / (none - full)));
  return usual + Math.max(0, BEHIND_LIMIT - usual) * behind;
}
