/**
 * How many log lines about calls that went well are written. Pattern: at the worst load hundreds of calls
 * a second end well, and their lines would take processor time from the others; a failed or refused call
 * is always told.
 */

/** Lines a second that are written in the long run; twice the usual calls a second of one router. */
const LINES_PER_SECOND = 40;

/** Lines that may be written at once after a calm time. */
const BURST_LINES = 80;

const MS_PER_SECOND = 1_000;

/** Counts out lines. */
export class LogRateLimiter {
  private saved = BURST_LINES;
  private refilledAt = 0;
  private skipped = 0;

  /** Whether a line may be written at monotonic time `now`; where not, it counts as left out. */
  tryAcquire(now: number): boolean {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const refill = (LINES_PER_SECOND * elapsedMs) / MS_PER_SECOND;
    this.saved = Math.min(BURST_LINES, this.saved + refill);
    if (this.saved < 1) {
      this.skipped += 1;
      return false;
    }
    this.saved -= 1;
    return true;
  }

  /** Lines that were left out since the last call of this function. */
  takeSuppressedCount(): number {
    const { skipped } = this;
    this.skipped = 0;
    return skipped;
  }
}
