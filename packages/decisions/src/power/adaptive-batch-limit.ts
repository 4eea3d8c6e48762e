/**
 * Finds the largest batch of a model engine at which the time between two tokens stays within the
 * target. It adjusts a limit from the engine's load reports. Because reports lag, it ignores those
 * that do not reflect the current limit yet: a batch above the limit is still shrinking, and a batch
 * below the limit does not show whether a larger one would fit.
 */

/** Target for the time between two tokens; 95 of 100 gaps must stay within it. */
export const TOKEN_GAP_TARGET_MS = 58;

/** Fraction of the target that an engine step may take; the rest covers delivery to the caller. */
const STEP_TIME_FRACTION = 0.9;

/** The batch as a load report describes it. */
export interface BatchReport {
  /** Sequences in the batch. */
  running: number;
  /** Duration of one step, which is the time between two tokens of a sequence. */
  stepMs: number;
}

/** Options of an `AdaptiveBatchLimit`. */
export interface AdaptiveBatchLimitOptions {
  /** Upper bound of the limit, and its initial value, in sequences. */
  maximum: number;
}

/** Adapts the batch limit of one engine. */
export class AdaptiveBatchLimit {
  private maximum: number;
  private current: number;

  constructor(options: AdaptiveBatchLimitOptions) {
    this.maximum = options.maximum;
    this.current = options.maximum;
  }

  /** Sequences that may run concurrently; at least 1. */
  get limit(): number {
    return this.current;
  }

  /** Changes the upper bound. A limit that is at its upper bound moves with it. */
  setMaximum(maximum: number): void {
    this.current = this.current === this.maximum ? maximum : Math.min(this.current, maximum);
    this.maximum = maximum;
  }

  /** Adjusts the limit by one load report: lowers it in proportion, raises it by 1. */
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
    // The duration of a step grows at most in proportion to the batch.
    const nextStepMs = (stepMs * (running + 1)) / running;
    if (running === this.current && nextStepMs <= targetStepMs)
      this.current = Math.min(this.maximum, this.current + 1);
  }
}
