/**
 * The life of one request at its router: queued, handed over to one sidecar at a time, ended. Plain
 * data and the steps between its states; the dispatcher performs them, and the model checker in the
 * tests explores them.
 */
import { Verdict } from '@poplarpick/kernel';
import { AttemptLoss, decideLostAttempt, LossAction } from './lost-attempt.ts';
import type { LossDecision } from './lost-attempt.ts';

/** Time for which a sidecar keeps an ended execution that its router has not settled. */
export const EXECUTION_RETENTION_MS = 60_000;

/**
 * Age of a grant up to which a sidecar that does not list it cannot have run it. Below
 * `EXECUTION_KEEP_MS`, so that clocks of different rates do no harm.
 */
export const MAX_TRUSTED_GRANT_AGE_MS = 50_000;

/** Most attempts of one request. */
export const MAX_ATTEMPTS = 3;

/** Where a request stands. */
export enum RequestPhase {
  Queued = 'queued',
  /** Granted to a sidecar, which may or may not have received it. */
  Granted = 'handed-over',
  Ended = 'ended',
}

/** The sidecar to which a request is granted. */
export interface SidecarInstance {
  host: string;
  incarnation: string;
}

/** One request as its router knows it. */
export interface RequestState {
  readonly phase: RequestPhase;
  readonly repeatable: boolean;
  /** Attempts so far, the current one included. */
  readonly attempt: number;
  readonly sidecar: SidecarInstance | undefined;
  /** Whether the caller has received a part of the answer. */
  readonly delivered: boolean;
  /** Whether an attempt before the current one may have run. */
  readonly mayHaveRunBefore: boolean;
}

/** A life after an attempt was lost, with the decision on it. */
export interface SettledAttempt {
  state: RequestState;
  decision: LossDecision;
}

/** The life of a request that has just arrived. */
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

/** Hands a queued request to a sidecar as a new attempt. Throws where it is not queued. */
export function grantAttempt(life: RequestState, sidecar: SidecarInstance): RequestState {
  if (life.phase !== RequestPhase.Queued) throw new Error('only a queued request can be granted');
  return { ...life, phase: RequestPhase.Granted, sidecar, attempt: life.attempt + 1 };
}

/** Whether a message of a sidecar is about the current attempt of a request. */
export function isCurrentAttempt(
  life: RequestState,
  sender: SidecarInstance,
  attempt: number,
): boolean {
  if (life.phase !== RequestPhase.Granted || life.attempt !== attempt) return false;
  return life.sidecar?.host === sender.host && life.sidecar.incarnation === sender.incarnation;
}

/** Notes that a part of the answer has reached the caller. */
export function markDelivered(life: RequestState): RequestState {
  return life.delivered ? life : { ...life, delivered: true };
}

/** What a sidecar that came back says about an attempt that it does not list. */
export interface MissingAttempt {
  /** The sidecar that came back. */
  sender: SidecarInstance;
  /** Time since the grant, in milliseconds. */
  grantAgeMs: number;
  /** Whether the request's deadline has passed, after which a sidecar may give it up. */
  expired: boolean;
}

/** How an attempt was lost whose sidecar came back without it. */
export function classifyMissingAttempt(life: RequestState, missing: MissingAttempt): AttemptLoss {
  const sameProcess = life.sidecar?.incarnation === missing.sender.incarnation;
  const remembers = missing.grantAgeMs < MAX_TRUSTED_GRANT_AGE_MS && !missing.expired;
  return sameProcess && remembers ? AttemptLoss.NeverStarted : AttemptLoss.SidecarGone;
}

/** Settles a lost attempt: the request is queued again or fails. */
export function settleLostAttempt(
  life: RequestState,
  loss: AttemptLoss,
  retryAllowed = true,
): SettledAttempt {
  const decision = decideLostAttempt({
    loss,
    repeatable: life.repeatable,
    delivered: life.delivered,
    attempts: life.attempt,
    maxAttempts: MAX_ATTEMPTS,
    mayHaveRunBefore: life.mayHaveRunBefore,
    retryAllowed,
  });
  if (decision.action === LossAction.Fail) return { state: endRequest(life), decision };
  const mayHaveRunBefore = decision.verdict !== Verdict.NotRun;
  const queued = { ...life, phase: RequestPhase.Queued, sidecar: undefined, mayHaveRunBefore };
  return { state: queued, decision };
}

/** The verdict on a request whose current attempt ended with `verdict`: that of its worst attempt. */
export function combineVerdicts(life: RequestState, verdict: Verdict): Verdict {
  if (verdict === Verdict.NotRun && life.delivered) return Verdict.Ran;
  return verdict === Verdict.NotRun && life.mayHaveRunBefore ? Verdict.MayHaveRun : verdict;
}

/** What can be said of a request that ends before its answer does. */
export function computeUnfinishedVerdict(life: RequestState): Verdict {
  if (life.delivered) return Verdict.Ran;
  const current = life.phase === RequestPhase.Queued ? Verdict.NotRun : Verdict.MayHaveRun;
  return combineVerdicts(life, current);
}

/** Ends a request. */
export function endRequest(life: RequestState): RequestState {
  return { ...life, phase: RequestPhase.Ended };
}
