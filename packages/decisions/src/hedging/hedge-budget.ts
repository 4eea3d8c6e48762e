/**
 * The extra work that operators allow for hedges: a fraction of the work of all first attempts. Each router spends
 * only what its own requests have earned, so the fleet stays within the fraction without any exchange. Work is
 * counted in tokens; a request without a prompt counts as one token.
 */

/** Earned work that may be saved up, in times of the largest request seen; then a large one can be hedged at all. */
const MAX_SAVED_REQUESTS = 2;

/** Time in which the largest request seen is forgotten by half, in ms. */
const LARGEST_HALF_LIFE_MS = 10_000;

/** The work that one router may spend on hedges in one pool. */
export class HedgeBudget {
  private readonly fraction: number;
  private available = 0;
  private largest = 0;
  private updatedAt = 0;

  /** `fraction` of extra work, in 0..1; 0 allows none. */
  constructor(fraction: number) {
    this.fraction = fraction;
  }

  /** Records a first attempt. */
  recordRequest(work: number, now: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.updatedAt = now;
    this.largest = Math.max(work, this.largest * 0.5 ** (elapsedMs / LARGEST_HALF_LIFE_MS));
    const limit = this.largest * MAX_SAVED_REQUESTS;
    this.available = Math.min(limit, this.available + work * this.fraction);
  }

  /** Takes the work of one hedge; false if it isn't there. */
  tryAcquire(work: number): boolean {
    if (work > this.available) return false;
    this.available -= work;
    return true;
  }
}
