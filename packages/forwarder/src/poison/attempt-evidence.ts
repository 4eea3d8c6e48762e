/**
 * Tells the poison guard what the end of an attempt says about the segments of its prompt. Poison crashes the
 * endpoint as soon as it begins to answer, so an attempt that has been answered for a while has survived.
 */
import type { SuspectHash } from '@poplarpick/decisions';
import { ErrorCode, Verdict } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import type { CallAttempt } from '../calls/call-attempt.ts';
import type { RouterState } from '../router-state.ts';
import type { WatchedEndpoint } from './poison-guard.ts';

/** Time from the first event after which an attempt has survived, in ms. */
const SURVIVAL_MS = 1_000;

const LOSS_CODES = new Set([ErrorCode.ConnectionLost, ErrorCode.IncompleteAnswer]);

/** What the evidence needs to know of an attempt. */
export type WatchedAttempt = Pick<CallAttempt, 'firstEventAt'> & {
  placement: { record: WatchedEndpoint };
};

/** Options of an `AttemptEvidence`. */
export interface AttemptEvidenceOptions {
  state: Pick<RouterState, 'poison' | 'clock'>;
  /** Hashes of what may crash an endpoint: the request as a whole, and the shared segments of its prompt. */
  suspectHashes: readonly SuspectHash[];
}

/** Evidence from the attempts of one call. */
export class AttemptEvidence {
  private readonly state: AttemptEvidenceOptions['state'];
  private readonly hashes: readonly SuspectHash[];

  constructor({ state, suspectHashes }: AttemptEvidenceOptions) {
    this.state = state;
    this.hashes = suspectHashes;
  }

  /** Records a complete answer. One that ends with its connection may also have been broken off. */
  recordCompleted(attempt: WatchedAttempt, isFramed: boolean): void {
    if (this.hashes.length === 0) return;
    if (isFramed || this.hasSurvived(attempt)) this.state.poison.recordSurvival(this.hashes);
    else this.state.poison.recordUnframedEnd(attempt.placement.record, this.hashes);
  }

  /** Records a failed attempt: its endpoint may have crashed. */
  recordFailed(attempt: WatchedAttempt, error: RequestError): void {
    if (this.hashes.length === 0 || error.verdict === Verdict.NotRun) return;
    if (this.hasSurvived(attempt)) this.state.poison.recordSurvival(this.hashes);
    else if (LOSS_CODES.has(error.code))
      this.state.poison.recordLoss(attempt.placement.record, this.hashes);
  }

  private hasSurvived({ firstEventAt }: WatchedAttempt): boolean {
    if (firstEventAt === undefined) return false;
    return this.state.clock.monotonic() - firstEventAt > SURVIVAL_MS;
  }
}
