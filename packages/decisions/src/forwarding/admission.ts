/**
 * Admission control for one request at the endpoint that placement selected. A request is either
 * accepted or refused immediately with a retry-after time.
 *
 * Under overload, accepting every request would make every request late. Admission therefore bounds the
 * queueing time ahead of a request, and the bound depends on the max-min fair share of its workspace:
 *
 * - Within the fair share, a new request may wait for somewhat less than the shortest latency objective at its
 *   endpoint, so that it and those behind it can still be on time. Caller retries may wait longer and so take
 *   precedence over new requests.
 * - Over the fair share, a request may only use surplus capacity. Its wait limit comes from the
 *   `SurplusLimiter` and is raised for workspaces that have received little of the surplus.
 * - Under contention, the fair share is reserved for requests that can still be on time. Caller retries
 *   are then served from the surplus, even before their workspace has used up its share.
 * - A request that resumes a stream counts as within the share, like a caller retry: its workspace's share has
 *   admitted the stream before, and if it isn't resumed, all of that work is lost.
 * - A workspace that has used up its share of a contended surplus is refused, even without any wait.
 * - Where running streams are so slow that long ones may miss their deadlines (see `StreamPace`), there is no
 *   surplus: a request over its share would slow them down further. For workspaces that have received little of the
 *   surplus, streams count as slow only at twice that pace, so that they catch up with those that got more.
 *
 * The prefill time of the request itself doesn't count towards the wait, so a long prompt has the same
 * wait limit as a short one.
 */
import type { ShareUsage } from './max-min-share.ts';

/** The request and the state of its workspace and endpoint that admission depends on. */
export interface AdmissionInput {
  /** Estimated time until the selected endpoint starts the request, in ms. */
  waitMs: number;
  /** Estimated time from that start to the first event, in ms. */
  serviceMs: number;
  /** Latency objective for the first event, in ms. */
  objectiveMs: number;
  /** Shortest latency objective of the requests that share the endpoint's queue, in ms; by default `objectiveMs`. */
  queueObjectiveMs?: number | undefined;
  /** Time left until the request's deadline, in ms. */
  remainingMs: number;
  /** Usage of the workspace's fair shares within the sliding window. */
  shareUsage: ShareUsage;
  /** Longest wait for requests over their fair share, as a multiple of the objective. */
  surplusWaitLimit: number;
  /** The caller is retrying after an earlier refusal. */
  isCallerRetry: boolean;
  /** The request resumes a stream that has broken; by default it doesn't. */
  isResumption?: boolean;
  /** Pace of the streams at the endpoint, as a fraction of the slowest one that they bear; by default 0. */
  paceUsed?: number;
}

/** The outcome of admission control for one request. */
export interface AdmissionDecision {
  isAccepted: boolean;
  /** The request counts as over its workspace's fair share and may only use the surplus. */
  isOverShare: boolean;
  /** A refused request would have been accepted if its workspace had used less of its shares. */
  isForShare: boolean;
  /** Longest wait with which the request is accepted, in ms. */
  waitLimitMs: number;
  /** Time after which the caller of a refused request may retry, in ms; 0 when accepted. */
  retryAfterMs: number;
}

/** Longest wait for requests within their fair share, as a multiple of the objective. */
const WITHIN_SHARE_WAIT_LIMIT = { newRequest: 0.9, callerRetry: 1.5 };

/** Largest fraction of the remaining time that the first event may take. */
const FIRST_EVENT_DEADLINE_FRACTION = 0.8;

/**
 * Fair-share usage from which caller retries are limited to the surplus. Usage is 0 without contention,
 * so this only applies while demand exceeds the nominal capacity.
 */
const CALLER_RETRY_SHARE_LIMIT = 0.05;

/** Surplus usage above which a workspace is refused while the surplus is contended. */
const SURPLUS_USAGE_LIMIT = 1;

/**
 * Surplus usage at or below which a workspace gets the full boost of its surplus wait limit, and at or
 * above which it gets none. The boost falls linearly in between.
 */
const SURPLUS_BOOST_USAGE = { fullBoost: 0.4, noBoost: 0.8 };

/** Surplus wait limit under a full boost, as a multiple of the objective. */
const BOOSTED_SURPLUS_WAIT_LIMIT = 0.12;

/**
 * Surplus wait limit below which the surplus counts as contended, as a multiple of the objective. A
 * `SurplusLimiter` returns this value as long as almost no requests are late.
 */
const CONTENDED_SURPLUS_WAIT_LIMIT = 0.3;

/** Pace used of an endpoint (see `StreamPace`) from which on it has no surplus. */
export const SURPLUS_PACE_LIMIT = 0.8;

/** Part of its own objective that a shorter one at the same endpoint leaves to a request within its fair share. */
const MIN_QUEUE_OBJECTIVE_SHARE = 0.5;

/** Bounds of the retry-after time of a refused request within its fair share, in ms. */
const RETRY_AFTER_BOUNDS_MS = { min: 150, max: 2_000 };

/**
 * Retry-after time of a refused request over its fair share, in ms. By then the sliding window of the
 * share has advanced.
 */
const OVER_SHARE_RETRY_AFTER_MS = { base: 1_000, jitter: 2_000 };

/** Accepts or refuses one request. `random` in [0, 1] adds jitter to the retry-after time. */
export function decideAdmission(input: AdmissionInput, random: number): AdmissionDecision {
  const { isResumption = false, paceUsed = 0 } = input;
  const isOverShare =
    !isResumption &&
    input.shareUsage.shareUsed >= (input.isCallerRetry ? CALLER_RETRY_SHARE_LIMIT : 1);
  const waitLimitMs = waitLimit(input, isOverShare) * waitObjectiveMs(input, isOverShare);
  const meetsDeadline =
    input.waitMs + input.serviceMs < input.remainingMs * FIRST_EVENT_DEADLINE_FRACTION;
  const isOverSurplusShare =
    !isResumption &&
    input.shareUsage.surplusUsed > SURPLUS_USAGE_LIMIT &&
    input.surplusWaitLimit < CONTENDED_SURPLUS_WAIT_LIMIT;
  const paceLimit = SURPLUS_PACE_LIMIT * (1 + surplusBoost(input.shareUsage.surplusUsed));
  const hasSurplus = !isOverShare || paceUsed < paceLimit;
  const isInTime = input.waitMs <= waitLimitMs && meetsDeadline;
  if (isInTime && hasSurplus && !isOverSurplusShare)
    return { isAccepted: true, isOverShare, isForShare: false, waitLimitMs, retryAfterMs: 0 };
  const retryAfterMs = isOverShare
    ? OVER_SHARE_RETRY_AFTER_MS.base + OVER_SHARE_RETRY_AFTER_MS.jitter * random
    : retryAfterExcessWaitMs(input, waitLimitMs, random);
  const isForShare = isOverShare || isInTime;
  return { isAccepted: false, isOverShare, isForShare, waitLimitMs, retryAfterMs };
}

/**
 * Retry-after time until the wait is expected to fall below its limit. Jitter keeps callers from all
 * retrying at once.
 */
function retryAfterExcessWaitMs(
  input: AdmissionInput,
  waitLimitMs: number,
  random: number,
): number {
  const delayMs = Math.max(input.waitMs - waitLimitMs, 0) + input.objectiveMs * (0.25 + random / 2);
  return Math.min(RETRY_AFTER_BOUNDS_MS.max, Math.max(RETRY_AFTER_BOUNDS_MS.min, delayMs));
}

/**
 * Objective that bounds the wait of a request, in ms. Engines serve in order of arrival, so a queue that is short
 * enough for long objectives makes every request with a short one late or refused, whatever its workspace is due.
 * An objective that no endpoint can meet would close the queue to all others, so it counts up to a part only.
 */
function waitObjectiveMs(input: AdmissionInput, isOverShare: boolean): number {
  const { objectiveMs, queueObjectiveMs = objectiveMs } = input;
  if (isOverShare) return objectiveMs;
  return Math.min(objectiveMs, Math.max(queueObjectiveMs, objectiveMs * MIN_QUEUE_OBJECTIVE_SHARE));
}

/** Longest wait for a request, as a multiple of the objective. */
function waitLimit(input: AdmissionInput, isOverShare: boolean): number {
  if (isOverShare)
    return boostSurplusWaitLimit(input.shareUsage.surplusUsed, input.surplusWaitLimit);
  return input.isCallerRetry || input.isResumption === true
    ? WITHIN_SHARE_WAIT_LIMIT.callerRetry
    : WITHIN_SHARE_WAIT_LIMIT.newRequest;
}

/** Raises the surplus wait limit for workspaces that have used little of their share of the surplus. */
function boostSurplusWaitLimit(surplusUsed: number, baseLimit: number): number {
  const range = Math.max(0, BOOSTED_SURPLUS_WAIT_LIMIT - baseLimit);
  return baseLimit + range * surplusBoost(surplusUsed);
}

/** Preference in 0..1 for a workspace that has used this much of its share of the surplus. */
function surplusBoost(surplusUsed: number): number {
  const { fullBoost, noBoost } = SURPLUS_BOOST_USAGE;
  return Math.min(1, Math.max(0, (noBoost - surplusUsed) / (noBoost - fullBoost)));
}
