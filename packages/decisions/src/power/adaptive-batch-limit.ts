/**
 * The largest batch of a model engine at which the time between two tokens stays within the target,
 * learned from the engine's load reports. Reports lag, so one counts only once the limit that is in
 * force shows in it: a batch above the limit is still shrinking, one below says nothing of growth.
 */

/** Time between two tokens that 95 of 100 gaps must stay within. */
export const TOKEN_GAP_TARGET_MS = 58;

/** Part of the target that a step may take; the rest is for the way to the caller. */
const STEP_TIME_FRACTION = 0.9;

/** What a load report says of the batch. */
export interface BatchReport {
  running: number;
  /** Time of a step, which is the time between two tokens of a sequence. */
  stepMs: number;
}

/** Options of an `AdaptiveBatchLimit`. */
export interface AdaptiveBatchLimitOptions {
  /** Most sequences that the limit may ever allow. */
  maximum: number;
}

/** Learns the limit of one engine. */
export class AdaptiveBatchLimit {
  private maximum: number;
  private current: number;

  constructor(options: AdaptiveBatchLimitOptions) {
    this.maximum = options.maximum;
    this.current = options.maximum;
  }

  /** Sequences that may run at once; at least 1. */
  get limit(): number {
    return this.current;
  }

  /** Changes the most that the limit may allow. A limit that was never lowered follows it. */
  setMaximum(maximum: number): void {
    this.current = this.current === this.maximum ? maximum : Math.min(this.current, maximum);
    this.maximum = maximum;
  }

  observe({ running, stepMs }: BatchReport): void {
    if (running === 0 || stepMs <= 0 || running > this.current) return;
    const targetStepMs = TOKEN_GAP_TARGET_MS * STEP_TIME_FRACTION;
    if (stepMs > targetStepMs) {
      this.current = Math.max(
        1,
        Math.min(running - 1, Math.floor((running * targetStepMs) / stepMs)),
      );
      return;
    }
    // A step grows at most in proportion to the batch.
    const nextStepMs = (stepMs * (running + 1)) / running;
    if (running === this.current && nextStepMs <= targetStepMs)
      this.current = Math.min(this.maximum, this.current + 1);
  }
}
