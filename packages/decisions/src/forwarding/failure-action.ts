/**
 * What follows when an attempt at an endpoint has failed: another attempt, or the end. Decided from
 * the verdict (may the request have run?), the route and what the caller has received so far.
 */
import { Verdict } from '@poplarpick/kernel';
import { CallKind } from './routing-table.ts';
import type { Route } from './routing-table.ts';

/** A failed attempt. */
export interface FailedAttempt {
  route: Route;
  verdict: Verdict;
  /** Attempts that reached an endpoint, refused ones too, with this one. */
  attempts: number;
  /** The caller has received the head of an answer. */
  hasResponseBegun: boolean;
  /** Time that is left for the request, in ms. */
  remainingMs: number;
}

/** What follows. */
export enum FailureAction {
  /** Send it to an endpoint again, from the start. */
  Retry = 'repeat',
  /** Send it again, to go on after the last event. */
  Resume = 'resume',
  /** Tell the caller that it has not run. */
  Refuse = 'refuse',
  /** Tell the caller that it failed and may have run. */
  Fail = 'fail',
  /** Cut the answer off, so that it doesn't look complete. */
  Abort = 'cut',
}

/** Least time that makes another attempt worthwhile, in ms. */
const LEAST_LEFT_MS = 50;

/** Decides what follows; whether the budget allows another attempt is asked by the caller. */
export function decideFailureAction(failed: FailedAttempt): FailureAction {
  const mayRepeat =
    failed.attempts < failed.route.maxAttempts && failed.remainingMs > LEAST_LEFT_MS;
  const isResumable = failed.route.kind === CallKind.Stream && failed.route.isResumable;
  if (failed.hasResponseBegun)
    return mayRepeat && isResumable ? FailureAction.Resume : FailureAction.Abort;
  if (failed.verdict === Verdict.NotRun)
    return mayRepeat ? FailureAction.Retry : FailureAction.Refuse;
  const isIdempotent = failed.route.kind === CallKind.Idempotent || isResumable;
  return mayRepeat && isIdempotent ? FailureAction.Retry : FailureAction.Fail;
}
