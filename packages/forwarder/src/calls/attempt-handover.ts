/**
 * Moves a stream from the attempt at a silent endpoint to an attempt at another one. The earlier attempt is
 * kept until the later one has an accepted response, so that the stream can still go on there if the other
 * endpoint doesn't take it. Both endpoints work on the request meanwhile, for a bounded time. A hedge is a handover
 * before the first event: neither endpoint has proved to be slow for good, so both go on until one responds.
 */
import type { Clock, Timer } from '@poplarpick/kernel';
import type { CallAttempt } from './call-attempt.ts';

/** Most time for which both attempts may run after the later one was written, in ms. */
const MAX_OVERLAP_MS = 250;

/** Options of an `AttemptHandover`. */
export interface AttemptHandoverOptions {
  clock: Clock;
  /** Called with the earlier attempt after it was cancelled in favour of the later one. */
  onReplaced: (earlier: CallAttempt) => void;
}

/** The handover of one call from an earlier attempt to a later one; at most one at a time. */
export class AttemptHandover {
  private readonly options: AttemptHandoverOptions;
  private earlier: CallAttempt | undefined;
  private isHedge = false;
  private timer: Timer | undefined;

  constructor(options: AttemptHandoverOptions) {
    this.options = options;
  }

  get isPending(): boolean {
    return this.earlier !== undefined;
  }

  /** Whether this is the earlier attempt of a pending handover. */
  isEarlier(attempt: CallAttempt): boolean {
    return attempt === this.earlier;
  }

  /** Begins a handover; the later attempt is sent next. */
  begin(earlier: CallAttempt): void {
    this.earlier = earlier;
    this.isHedge = false;
  }

  /** Begins a hedge; the later attempt is sent next. */
  beginHedge(earlier: CallAttempt): void {
    this.earlier = earlier;
    this.isHedge = true;
  }

  /** Bounds the overlap, since the later attempt has been written. */
  limitOverlap(): void {
    if (!this.isPending || this.isHedge) return;
    this.timer?.stop();
    this.timer = this.options.clock.after(MAX_OVERLAP_MS, () => this.complete());
  }

  /** Ends the handover in favour of the later attempt: cancels the earlier one. */
  complete(): void {
    const earlier = this.end();
    if (earlier === undefined) return;
    earlier.abort();
    if (!this.isHedge) this.options.onReplaced(earlier);
  }

  /** Ends the handover without cancelling an attempt; returns the earlier one if it was pending. */
  end(): CallAttempt | undefined {
    const { earlier } = this;
    this.timer?.stop();
    this.timer = undefined;
    this.earlier = undefined;
    return earlier;
  }
}
