/**
 * How much of a fleet of model endpoints has had nothing to do of late. What was granted tells the capacity only while
 * all endpoints are in use: where little was granted because little came, or because calls were refused, a capacity
 * that follows the grants would keep refusing.
 */

/** Time constant of the moving average, in ms. */
const SMOOTHING_MS = 500;

/**
 * Part of the endpoints that seems idle in a fleet that is fully used: prompts come unevenly, and a router hears of
 * what other routers have sent a little late.
 */
const USUAL_IDLE_FRACTION = 0.2;

/** Least part of the fleet that counts as in use. */
const MIN_USED_FRACTION = 0.05;

/** Moving average over time of the part of the endpoints that is idle. */
export class IdleCapacity {
  private smoothedFraction = 0;
  private recordedAt = Number.NEGATIVE_INFINITY;

  /** Records that `idle` of `total` endpoints are idle now. */
  record(idle: number, total: number, now: number): void {
    const fraction = total === 0 ? 0 : idle / total;
    const weight = 1 - Math.exp(-(now - this.recordedAt) / SMOOTHING_MS);
    this.smoothedFraction += weight * (fraction - this.smoothedFraction);
    this.recordedAt = now;
  }

  /** Part of the fleet in use, in 0..1; 1 while no more of it is idle than usual. */
  get usedFraction(): number {
    const used = (1 - this.smoothedFraction) / (1 - USUAL_IDLE_FRACTION);
    return Math.min(1, Math.max(MIN_USED_FRACTION, used));
  }
}
