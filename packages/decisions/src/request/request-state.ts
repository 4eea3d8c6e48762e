/**
 * State machine of one request at its router: queued, granted to one sidecar at a time, ended. States
 * are plain immutable data and transitions are pure functions. The dispatcher applies them, and the
 * model checker in the tests explores them.
 */
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, decideLostAttempt, LossAction } from './lost-attempt.ts';
import type { LossDecision } from './lost-attempt.ts';

/** Time for which a sidecar retains an ended execution that its router has not settled. */
export const EXECUTION_RETENTION_MS = 60_000;

/**
 * Age below which a grant that the same sidecar process does not list cannot have run. Less than
 * `EXECUTION_RETENTION_MS`, to allow for clocks that run at different rates.
 */
export const MAX_TRUSTED_GRANT_AGE_MS = 50_000;

/** Largest number of attempts of one request. */
export const MAX_ATTEMPTS = 3;

/** Phase of a request. */
export enum RequestPhase {
  Queued = 'queued',
  /** Granted to a sidecar, which may or may not have received it. */
  Granted = 'handed-over',
  Ended = 'ended',
}

/** One process of a sidecar. */
export interface SidecarInstance {
  host: string;
  incarnation: string;
}

/** State of one request at its router. */
export interface RequestState {
  readonly phase: RequestPhase;
  readonly repeatable: boolean;
  /** Number of attempts so far, including the current one. */
  readonly attempt: number;
  /** The sidecar to which the request is granted. */
  readonly sidecar: SidecarInstance | undefined;
  /** Whether the caller has received a part of the answer. */
  readonly delivered: boolean;
  /** Whether an attempt before the current one may have run. */
  readonly mayHaveRunBefore: boolean;
}

/** State of a request after an attempt was lost, with the decision that led to it. */
export interface SettledAttempt {
  state: RequestState;
  decision: LossDecision;
}

/** Creates the state of a request that has just arrived. */
export function createRequestState(repeatable: boolean): RequestState {
  return {
    phase: RequestPhase.Queued,
    repeatable,
    attempt: 0,
    sidecar: undefined,
    delivered: false,
    mayHaveRunBefore: false,
  };
}

/** Grants a queued request to a sidecar as a new attempt. Throws if the request is not queued. */
export function grantAttempt(state: RequestState, sidecar: SidecarInstance): RequestState {
  if (state.phase !== RequestPhase.Queued) throw new Error('only a queued request can be granted');
  return { ...state, phase: RequestPhase.Granted, sidecar, attempt: state.attempt + 1 };
}

/** Returns whether a message from a sidecar refers to the current attempt of a request. */
export function isCurrentAttempt(
  state: RequestState,
  sender: SidecarInstance,
  attempt: number,
): boolean {
  if (state.phase !== RequestPhase.Granted || state.attempt !== attempt) return false;
  return state.sidecar?.host === sender.host && state.sidecar.incarnation === sender.incarnation;
}

/** Records that a part of the answer has reached the caller. */
export function markDelivered(state: RequestState): RequestState {
  return state.delivered ? state : { ...state, delivered: true };
}

/** An attempt that its sidecar did not list on reconnecting. */
export interface MissingAttempt {
  /** The sidecar that reconnected. */
  sender: SidecarInstance;
  /** Time since the grant, in milliseconds. */
  grantAgeMs: number;
  /** Whether the request's deadline has passed, after which a sidecar may discard the attempt. */
  expired: boolean;
}

/** Classifies the loss of an attempt that its sidecar did not list on reconnecting. */
export function classifyMissingAttempt(state: RequestState, missing: MissingAttempt): AttemptLoss {
  const isSameProcess = state.sidecar?.incarnation === missing.sender.incarnation;
  const isWithinRetention = missing.grantAgeMs < MAX_TRUSTED_GRANT_AGE_MS && !missing.expired;
  return isSameProcess && isWithinRetention ? AttemptLoss.NeverStarted : AttemptLoss.SidecarGone;
}

/** Settles a lost attempt: the request is requeued or fails. */
export function settleLostAttempt(
  state: RequestState,
  loss: AttemptLoss,
  retryAllowed = true,
): SettledAttempt {
  const decision = decideLostAttempt({
    loss,
    repeatable: state.repeatable,
    delivered: state.delivered,
    attempts: state.attempt,
    maxAttempts: MAX_ATTEMPTS,
    mayHaveRunBefore: state.mayHaveRunBefore,
    retryAllowed,
  });
  if (decision.action === LossAction.Fail) return { state: endRequest(state), decision };
  const mayHaveRunBefore = decision.verdict !== Verdict.NotRun;
  const queued = { ...state, phase: RequestPhase.Queued, sidecar: undefined, mayHaveRunBefore };
  return { state: queued, decision };
}

/**
 * Returns the verdict on a request whose current attempt ended with `verdict`. If that attempt has not
 * run, an earlier one that may have run, or an answer that was partly delivered, determines the verdict.
 */
export function combineVerdicts(state: RequestState, verdict: Verdict): Verdict {
  if (verdict === Verdict.NotRun && state.delivered) return Verdict.Ran;
  return verdict === Verdict.NotRun && state.mayHaveRunBefore ? Verdict.MayHaveRun : verdict;
}

/** Returns the verdict on a request that ends before its answer is complete. */
export function computeUnfinishedVerdict(state: RequestState): Verdict {
  if (state.delivered) return Verdict.Ran;
  const currentVerdict = state.phase === RequestPhase.Queued ? Verdict.NotRun : Verdict.MayHaveRun;
  return combineVerdicts(state, currentVerdict);
}

/** Ends a request. */
export function endRequest(state: RequestState): RequestState {
  return { ...state, phase: RequestPhase.Ended };
}
