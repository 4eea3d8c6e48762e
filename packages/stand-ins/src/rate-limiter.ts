/** Fixed-window rate limiter, as the platform's services have one. */

const SECOND_MS = 1_000;

/** Limits calls per second, counted in windows of one second. */
export class RateLimiter {
  private readonly perSecond: number;
  private windowStart = 0;
  private windowCount = 0;
  private highestWindowCount = 0;
  private totalCount = 0;

  constructor(perSecond: number) {
    this.perSecond = perSecond;
  }

  /** Number of all calls so far, including refused ones. */
  get total(): number {
    return this.totalCount;
  }

  /** Highest number of calls in one window. */
  get peakPerSecond(): number {
    return Math.max(this.highestWindowCount, this.windowCount);
  }

  /** Counts a call and returns whether it is within the limit. `now` is in milliseconds. */
  tryAcquire(now: number): boolean {
    if (now - this.windowStart >= SECOND_MS) {
      this.highestWindowCount = this.peakPerSecond;
      this.windowStart = now;
      this.windowCount = 0;
    }
    this.totalCount += 1;
    this.windowCount += 1;
    return this.windowCount <= this.perSecond;
  }
}
