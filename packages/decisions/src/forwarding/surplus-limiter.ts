/**
 * Limits how long requests over their workspace's fair share may queue at the endpoints of one pool.
 * At low load there is surplus capacity for them, and refusing them helps no one. Under overload, each of
 * them makes a request within its share late. The limit is therefore derived from the part of the requests within
 * their share that were late in the last seconds, over all routers.
 */
import { LatenessWindow, sumLateness } from './lateness-window.ts';
import type { LatenessCounts } from './lateness-window.ts';

/** Fewest requests of which the late ones are taken for a part, so that one alone doesn't count for many. */
const MIN_REQUESTS = 50;

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

const NO_REQUESTS: LatenessCounts = { late: 0, total: 0 };

/** Derives the surplus wait limit of one pool from the lateness of requests within their fair share. */
export class SurplusLimiter {
  private readonly window = new LatenessWindow();

  /** Records a request within its fair share at the monotonic time `now`, in ms. */
  recordServed(request: ServedRequest, now: number): void {
    if (request.serviceMs > request.objectiveMs * MAX_SERVICE_FRACTION) return;
    this.window.record(request.firstEventMs > request.objectiveMs, now);
  }

  /** Records a request within its fair share that was refused because it would have been late. */
  recordRefused(now: number): void {
    this.window.record(true, now);
  }

  /** The requests within their fair share at this router in the last seconds. */
  counts(now: number): LatenessCounts {
    return this.window.counts(now);
  }

  /**
   * Longest wait of a request over its fair share, as a multiple of the objective. `peers` has the sum of what the
   * other routers count in this pool.
   */
  waitLimit(now: number, peers = NO_REQUESTS): number {
    const { max, min } = WAIT_LIMIT_RANGE;
    return max + (min - max) * this.contention(now, peers);
  }

  /** How far requests within their share are late, over all routers: 0 if almost none are, 1 if too many. */
  contention(now: number, peers = NO_REQUESTS): number {
    const { low, high } = LATE_RATE_RANGE;
    const { late, total } = sumLateness([this.counts(now), peers]);
    const lateRate = late / Math.max(MIN_REQUESTS, total);
    return Math.min(1, Math.max(0, (lateRate - low) / (high - low)));
  }
}
