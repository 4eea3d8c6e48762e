/**
 * Estimate of how long the answers of one route take, from those that were complete: a moving mean, and the
 * moving mean of the deviations from it.
 */

/** Weight of the previous value in the moving means. */
const MEAN_DECAY = 0.875;
const DEVIATION_DECAY = 0.75;

/** Deviations above the mean within which few answers, and nearly all answers, take longer. */
const LIKELY_DEVIATIONS = 1;
const LONG_DEVIATIONS = 4;

/** How long an answer takes from the sending of its request, in ms. */
export interface ExpectedDuration {
  /** Most answers take no longer. */
  likelyMs: number;
  /** Nearly all answers take no longer. */
  longMs: number;
}

/** Estimates the durations of one route's answers. */
export class DurationEstimate {
  /** Undefined before the first answer. */
  private meanMs: number | undefined;
  private deviationMs = 0;

  /** Records a complete answer that took `elapsedMs`. The first one tells little of how they vary. */
  record(elapsedMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = elapsedMs;
      this.deviationMs = elapsedMs / 2;
      return;
    }
    const deviationMs = Math.abs(elapsedMs - this.meanMs);
    this.deviationMs = average(this.deviationMs, deviationMs, DEVIATION_DECAY);
    this.meanMs = average(this.meanMs, elapsedMs, MEAN_DECAY);
  }

  /** What is known of the next answer; undefined before the first one. */
  get expected(): ExpectedDuration | undefined {
    if (this.meanMs === undefined) return undefined;
    return {
      likelyMs: this.meanMs + LIKELY_DEVIATIONS * this.deviationMs,
      longMs: this.meanMs + LONG_DEVIATIONS * this.deviationMs,
    };
  }
}

function average(previous: number, next: number, decay: number): number {
  return previous * decay + next * (1 - decay);
}
