/**
 * Token bucket that limits the rate of log lines of one kind. At peak load, hundreds of calls per second succeed, and a
 * crowd may have thousands refused before they are placed; logging all of them would take CPU time from the calls in
 * progress. Calls that fail or are refused after they were placed are always logged.
 */

/** Sustained rate in lines per second, twice the usual call rate of one router. */
const LINES_PER_SECOND = 40;

/** Size of the bucket: lines that may be written in a burst after a quiet period. */
const BURST_LINES = 80;

const MS_PER_SECOND = 1_000;

/** Limits log lines and counts the suppressed ones. */
export class LogRateLimiter {
  private available = BURST_LINES;
  private refilledAt = 0;
  private suppressed = 0;

  /** True if a line may be written at monotonic time `now`. Otherwise the line is counted as suppressed. */
  tryAcquire(now: number): boolean {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const refill = (LINES_PER_SECOND * elapsedMs) / MS_PER_SECOND;
    this.available = Math.min(BURST_LINES, this.available + refill);
    if (this.available < 1) {
      this.suppressed += 1;
      return false;
    }
    this.available -= 1;
    return true;
  }

  /** Returns the number of lines suppressed since the last call of this method, and resets it. */
  takeSuppressedCount(): number {
    const { suppressed } = this;
    this.suppressed = 0;
    return suppressed;
  }
}
