/** Decides when a call goes on at another endpoint: after a failed attempt, or since its stream has stalled. */
import { decideFailureAction, FailureAction } from '@poplarpick/decisions';
import type { Route } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import type { AttemptSender } from './attempt-sender.ts';
import type { CallAttempt } from './call-attempt.ts';
import type { CallResponse } from './call-response.ts';

/**
 * Time without bytes after which a resumable stream is resumed elsewhere if its endpoint is unhealthy,
 * in ms.
 */
const STALL_TIMEOUT_MS = 1_000;

/** Options of a `CallContinuation`. */
export interface CallContinuationOptions {
  route: Route;
  response: CallResponse;
  sender: AttemptSender;
  /** Time left until the deadline of the call, in ms. */
  remainingMs: () => number;
}

/** Decides about the attempts of one call. */
export class CallContinuation {
  private readonly options: CallContinuationOptions;

  constructor(options: CallContinuationOptions) {
    this.options = options;
  }

  /** How to proceed after an attempt has failed. */
  decide(verdict: Verdict): FailureAction {
    const { route, response, sender, remainingMs } = this.options;
    return decideFailureAction({
      route,
      verdict,
      attempts: sender.sentAttempts,
      hasResponseBegun: response.hasBegun,
      canGoOn: response.canGoOn,
      remainingMs: remainingMs(),
    });
  }

  /** Whether the attempt is a stream that has received nothing for long and could go on elsewhere. */
  isStalled(attempt: CallAttempt, now: number): boolean {
    const { silentSince } = attempt;
    if (!this.options.route.isResumable || silentSince === undefined) return false;
    if (now - silentSince <= STALL_TIMEOUT_MS) return false;
    if (!attempt.placement.record.load.isUnhealthy(now)) return false;
    return goesElsewhere(this.decide(Verdict.MayHaveRun));
  }
}

/** Whether a further attempt is made. */
export function goesElsewhere(action: FailureAction): boolean {
  return action === FailureAction.Retry || action === FailureAction.Resume;
}
