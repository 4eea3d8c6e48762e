/**
 * What becomes of a request whose attempt at one sidecar is over without an end. The rule: a request
 * goes back to the queue only if it cannot have run, or may run again and nothing of an answer has
 * reached the caller.
 */
import { ErrorCode, Verdict } from '@poplarpick/kernel';

/** How the attempt was lost. */
export enum AttemptLoss {
  /** The sidecar refused it, or the same incarnation came back without it: it was not run. */
  NeverStarted = 'never-started',
  /** The sidecar restarted or stayed away: it may have run. */
  SidecarGone = 'sidecar-gone',
  /** The endpoint failed in a way that leaves open whether it ran the request. */
  EndpointFailed = 'endpoint-failed',
}

/** What to do with the request. */
export enum LossAction {
  Requeue = 'requeue',
  Fail = 'fail',
}

/** The attempt that was lost. */
export interface LostAttempt {
  loss: AttemptLoss;
  repeatable: boolean;
  /** Whether the caller has received a part of the answer. */
  delivered: boolean;
  /** Attempts so far, this one included. */
  attempts: number;
  /** Most attempts of one request. */
  maxAttempts: number;
  /** Whether an earlier attempt may have run. */
  mayHaveRunBefore: boolean;
  /** Whether the retry budget and the deadline leave room for another attempt. */
  retryAllowed: boolean;
}

/** The decision, with the failure that the caller is told where there is one. */
export interface LossDecision {
  action: LossAction;
  code: ErrorCode;
  verdict: Verdict;
}

/** Decides what becomes of a request whose attempt was lost. */
export function decideLostAttempt(lost: LostAttempt): LossDecision {
  const verdict = verdictOf(lost);
  const code = lost.delivered ? ErrorCode.IncompleteAnswer : ErrorCode.ConnectionLost;
  const mayRunAgain = verdict === Verdict.NotRun || (lost.repeatable && !lost.delivered);
  if (!mayRunAgain) return { action: LossAction.Fail, code, verdict };
  if (lost.attempts >= lost.maxAttempts || !lost.retryAllowed)
    return { action: LossAction.Fail, code: codeOfLastAttempt(lost), verdict };
  return { action: LossAction.Requeue, code, verdict };
}

function verdictOf(lost: LostAttempt): Verdict {
  if (lost.delivered) return Verdict.Ran;
  if (lost.loss !== AttemptLoss.NeverStarted || lost.mayHaveRunBefore) return Verdict.MayHaveRun;
  return Verdict.NotRun;
}

function codeOfLastAttempt(lost: LostAttempt): ErrorCode {
  if (lost.loss === AttemptLoss.EndpointFailed) return ErrorCode.EndpointFailed;
  return ErrorCode.NoEndpoint;
}
