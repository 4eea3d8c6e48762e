/**
 * Limits how long requests over their workspace's fair share may queue at the endpoints of one pool.
 * At low load there is surplus capacity for them, and refusing them helps no one. Under overload, each of
 * them makes a request within its share late. The limit is therefore derived from the recent rate of late
 * requests within their share, averaged over all routers.
 */

/** Smoothing factor of the moving average of the late rate, which spans about 30 requests. */
const SMOOTHING_FACTOR = 0.03;

/** Late rates at or below which the wait limit is largest, and at or above which it is smallest. */
const LATE_RATE_RANGE = { low: 0.004, high: 0.025 };

/** Range of the wait limit of requests over their share, as a multiple of the objective. */
const WAIT_LIMIT_RANGE = { max: 0.3, min: 0.03 };

/**
 * Largest service time that still counts, as a fraction of the objective. Requests that take longer are
 * ignored, since they may be late without any load.
 */
const MAX_SERVICE_FRACTION = 0.6;

/** Timing of a request within its fair share that has received its first event. */
export interface ServedRequest {
  /** Latency objective for the first event, in ms. */
  objectiveMs: number;
  /** Time from arrival to the first event, in ms. */
  firstEventMs: number;
  /** Estimated time to the first event without queueing, in ms. */
  serviceMs: number;
}

/** Late requests in a pool as the other routers report them. */
export interface PeerLateRate {
  /** Mean fraction of late requests, in 0..1. */
  rate: number;
  /** Routers that report one. */
  routers: number;
}

const NO_PEERS: PeerLateRate = { rate: 0, routers: 0 };

/** Derives the surplus wait limit of one pool from the lateness of requests within their fair share. */
export class SurplusLimiter {
  private smoothedLateRate = 0;

  recordServed(request: ServedRequest): void {
    if (request.serviceMs > request.objectiveMs * MAX_SERVICE_FRACTION) return;
    this.recordOutcome(request.firstEventMs > request.objectiveMs);
  }

  /** Records a request within its fair share that was refused because it would have been late. */
  recordRefused(): void {
    this.recordOutcome(true);
  }

  /** Moving average of the fraction of late requests at this router, in 0..1. */
  get lateRate(): number {
    return this.smoothedLateRate;
  }

  /**
   * Longest wait of a request over its fair share, as a multiple of the objective. `peers` has the mean late
   * rate that the other routers report for this pool, and their number.
   */
  waitLimit(peers: PeerLateRate = NO_PEERS): number {
    const { max, min } = WAIT_LIMIT_RANGE;
    return max + (min - max) * this.contention(peers);
  }

  /** How far requests within their share are late, over all routers: 0 if almost none are, 1 if too many. */
  contention(peers: PeerLateRate = NO_PEERS): number {
    const { low, high } = LATE_RATE_RANGE;
    const rateSum = this.smoothedLateRate + peers.rate * peers.routers;
    const meanRate = rateSum / (peers.routers + 1);
    return Math.min(1, Math.max(0, (meanRate - low) / (high - low)));
  }

  private recordOutcome(isLate: boolean): void {
    this.smoothedLateRate += SMOOTHING_FACTOR * ((isLate ? 1 : 0) - this.smoothedLateRate);
  }
}
