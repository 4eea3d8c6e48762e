/** A limit on calls per second, as the platform's services have one. */

const SECOND_MS = 1_000;

/** Counts calls in windows of one second. */
export class RateLimiter {
  private readonly perSecond: number;
  private windowStart = 0;
  private inWindow = 0;
  private highest = 0;
  private count = 0;

  constructor(perSecond: number) {
    this.perSecond = perSecond;
  }

  /** All calls so far, the refused ones included. */
  get total(): number {
    return this.count;
  }

  /** Most calls in one second. */
  get peakPerSecond(): number {
    return Math.max(this.highest, this.inWindow);
  }

  /** Counts a call; false where it is over the limit. */
  take(now: number): boolean {
    if (now - this.windowStart >= SECOND_MS) {
      this.highest = this.peakPerSecond;
      this.windowStart = now;
      this.inWindow = 0;
    }
    this.count += 1;
    this.inWindow += 1;
    return this.inWindow <= this.perSecond;
  }
}
