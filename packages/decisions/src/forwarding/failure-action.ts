/**
 * Decides how to handle a failed attempt at an endpoint: retry, resume, or end the request with an error.
 * The decision depends on whether the request may have run, on the route's limits, and on what the caller
 * has already received.
 */
import { Verdict } from '@poplarpick/kernel';
import { isRepeatable, isResumableStream } from './routing-table.ts';
import type { Route } from './routing-table.ts';

/** A failed attempt and the state of its request. */
export interface FailedAttempt {
  route: Route;
  /** Whether the request may have run at an endpoint. */
  verdict: Verdict;
  /** Attempts that reached an endpoint so far, including refused ones and this one. */
  attempts: number;
  /** The caller has received the response head. */
  hasResponseBegun: boolean;
  /** What the caller has received ends with an event after which another endpoint can go on. */
  canGoOn: boolean;
  /** Time left until the request's deadline, in ms. */
  remainingMs: number;
}

/** How to proceed after a failed attempt. */
export enum FailureAction {
  /** Send the request to another endpoint, from the start. */
  Retry = 'repeat',
  /** Resume the stream at another endpoint, after the last event that the caller received. */
  Resume = 'resume',
  /** Refuse the request and report that it has not run. */
  Refuse = 'refuse',
  /** Fail the request and report that it may have run. */
  Fail = 'fail',
  /** Abort the response midway, so that the caller can't mistake it for a complete one. */
  Abort = 'cut',
}

/** Shortest remaining time in which another attempt is worthwhile, in ms. */
const MIN_REMAINING_MS = 50;

/** Decides how to proceed. The caller of this function checks the retry budget before it retries. */
export function decideFailureAction(failed: FailedAttempt): FailureAction {
  const { route } = failed;
  const canRetry = failed.attempts < route.maxAttempts && failed.remainingMs > MIN_REMAINING_MS;
  if (failed.hasResponseBegun)
    return canRetry && failed.canGoOn && isResumableStream(route)
      ? FailureAction.Resume
      : FailureAction.Abort;
  if (failed.verdict === Verdict.NotRun)
    return canRetry ? FailureAction.Retry : FailureAction.Refuse;
  return canRetry && isRepeatable(route) ? FailureAction.Retry : FailureAction.Fail;
}
