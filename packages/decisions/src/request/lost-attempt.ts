/**
 * Decides whether to retry a request whose attempt at a sidecar was lost before it ended. A request is
 * requeued only if it cannot have run, or if it is repeatable and no part of an answer has reached
 * the caller.
 */
import { ErrorCode, Verdict } from '@poplarpick/kernel';

/** How an attempt was lost. */
export enum AttemptLoss {
  /** The sidecar refused it, or reconnected in the same incarnation without listing it: it was not run. */
  NeverStarted = 'never-started',
  /** The sidecar restarted or did not reconnect in time: the request may have run. */
  SidecarGone = 'sidecar-gone',
  /** The endpoint failed, and the request may have run. */
  EndpointFailed = 'endpoint-failed',
}

/** Action taken on the request. */
export enum LossAction {
  Requeue = 'requeue',
  Fail = 'fail',
}

/** A lost attempt and the state of its request. */
export interface LostAttempt {
  loss: AttemptLoss;
  repeatable: boolean;
  /** Whether the caller has received a part of the answer. */
  delivered: boolean;
  /** Attempts so far, including the lost one. */
  attempts: number;
  /** Largest number of attempts of one request. */
  maxAttempts: number;
  /** Whether an earlier attempt may have run. */
  mayHaveRunBefore: boolean;
  /** Whether the retry budget allows another attempt. */
  retryAllowed: boolean;
}

/** The action, with the error code and verdict that are reported to the caller if the request fails. */
export interface LossDecision {
  action: LossAction;
  code: ErrorCode;
  verdict: Verdict;
}

/** Decides whether a request whose attempt was lost is requeued or fails. */
export function decideLostAttempt(lost: LostAttempt): LossDecision {
  const verdict = computeVerdict(lost);
  const code = lost.delivered ? ErrorCode.IncompleteAnswer : ErrorCode.ConnectionLost;
  const mayRunAgain = verdict === Verdict.NotRun || (lost.repeatable && !lost.delivered);
  if (!mayRunAgain) return { action: LossAction.Fail, code, verdict };
  if (lost.attempts >= lost.maxAttempts || !lost.retryAllowed)
    return { action: LossAction.Fail, code: computeFinalErrorCode(lost), verdict };
  return { action: LossAction.Requeue, code, verdict };
}

function computeVerdict(lost: LostAttempt): Verdict {
  if (lost.delivered) return Verdict.Ran;
  if (lost.loss !== AttemptLoss.NeverStarted || lost.mayHaveRunBefore) return Verdict.MayHaveRun;
  return Verdict.NotRun;
}

function computeFinalErrorCode(lost: LostAttempt): ErrorCode {
  if (lost.loss === AttemptLoss.EndpointFailed) return ErrorCode.EndpointFailed;
  return ErrorCode.NoEndpoint;
}
