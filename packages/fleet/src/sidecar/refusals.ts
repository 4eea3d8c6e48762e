/** Refusals and failures that originate in the sidecar rather than the endpoint. */
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { AttemptReference, GrantRefusal } from '../messages.ts';

/** Why a granted request is not started. */
export type RefusalReason = Omit<GrantRefusal, keyof AttemptReference>;

/** Conditions that decide whether a granted request can start. */
export interface StartConditions {
  isDraining: boolean;
  /** Whether fewer requests are running than the slot limit allows. */
  hasFreeSlot: boolean;
  /** Time left until the caller's deadline. */
  deadlineMs: number;
}

/** Why a request cannot start now; undefined if it can. */
export function findRefusalReason(conditions: StartConditions): RefusalReason | undefined {
  const verdict = Verdict.NotRun;
  if (conditions.isDraining) {
    const message = 'the endpoint is draining';
    return { code: ErrorCode.Draining, message, elsewhere: true, verdict };
  }
  if (!conditions.hasFreeSlot) {
    const message = 'the power budget has shrunk';
    return { code: ErrorCode.NoEndpoint, message, elsewhere: true, verdict };
  }
  if (conditions.deadlineMs > 0) return undefined;
  const message = 'the deadline has passed';
  return { code: ErrorCode.DeadlineExceeded, message, elsewhere: false, verdict };
}

/** Creates the error for an answer of the endpoint that exceeds the limit of the sidecar. */
export function createAnswerTooLargeError(limitBytes: number): RequestError {
  return new RequestError(`the endpoint's answer is over ${limitBytes} bytes`, {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.Ran,
  });
}
