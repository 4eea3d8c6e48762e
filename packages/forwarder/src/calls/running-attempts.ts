/**
 * The attempts of one call that run: one, or two while a stalled stream is handed over to another endpoint or a slow call
 * is hedged. The one that proves first that it serves the caller goes on alone.
 */
import type { Clock } from '@poplarpick/kernel';
import { AttemptHandover } from './attempt-handover.ts';
import type { CallAttempt } from './call-attempt.ts';
import type { Placement } from './endpoint-evaluator.ts';

/** Options of `RunningAttempts`. */
export interface RunningAttemptsOptions {
  clock: Clock;
  /** Called with the earlier attempt of a handover once the later one has taken its place. */
  onReplaced: (earlier: CallAttempt) => void;
}

/** The attempts of one call that run. */
export class RunningAttempts {
  /** The latest attempt that runs. */
  current: CallAttempt | undefined;
  /** The latest placement, also once its attempt has ended. */
  placement: Placement | undefined;
  private readonly handover: AttemptHandover;

  constructor(options: RunningAttemptsOptions) {
    this.handover = new AttemptHandover(options);
  }

  /** Whether two attempts run. */
  get areTwo(): boolean {
    return this.handover.isPending;
  }

  /** Begins to hand a stalled attempt over; the next one that is sent takes its place if it proves to. */
  beginHandover(stalled: CallAttempt): void {
    this.handover.begin(stalled);
  }

  /** Begins a hedge of a slow attempt by the next one that is sent. */
  beginHedge(slow: CallAttempt): void {
    this.handover.beginHedge(slow);
  }

  /** Records that the request of an attempt is being written. */
  recordWritten(attempt: CallAttempt): void {
    if (!this.handover.isEarlier(attempt)) this.handover.limitOverlap();
  }

  /** Ends the other attempt, since this one has proved that it serves the caller. */
  settle(attempt: CallAttempt): void {
    if (!this.handover.isEarlier(attempt)) {
      this.handover.complete();
      return;
    }
    this.current?.abort();
    this.goBack();
  }

  /** Continues with the other attempt after one has failed; false if there is none. */
  goOnWithout(failed: CallAttempt): boolean {
    if (!this.handover.isPending) {
      this.current = undefined;
      return false;
    }
    if (this.handover.isEarlier(failed)) this.handover.end();
    else this.goBack();
    return true;
  }

  /** Stops all attempts. */
  abort(): void {
    this.handover.end()?.abort();
    this.current?.abort();
  }

  /** Makes the earlier attempt the current one again. */
  private goBack(): void {
    this.current = this.handover.end();
    this.placement = this.current?.placement;
  }
}
