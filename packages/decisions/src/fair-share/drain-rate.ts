/**
 * Measures the drain rate of a queue over a sliding window while the queue is not empty. The rate
 * gives the `Retry-After` of a request that finds the queue full, and an estimate of whether a request
 * would reach the head of the queue before its deadline.
 */

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;
const MIN_RETRY_AFTER_SECONDS = 1;
const MAX_RETRY_AFTER_SECONDS = 60;

/** Fraction of a full queue that should drain before a refused caller retries. */
const REQUIRED_DRAIN_FRACTION = 0.1;

/** Departures within the current and the previous window that are needed to estimate a wait. */
const MIN_DEPARTURES_FOR_ESTIMATE = 20;

/** Counts departures from a queue while it is not empty. */
export class DrainRate {
  private windowStartedAt: number | undefined;
  private departures = 0;
  private previousDepartures = 0;
  private hasPreviousWindow = false;

  /** Starts measuring when an entry is queued; has no effect while a measurement is running. */
  start(now: number): void {
    this.windowStartedAt ??= now;
  }

  /** Records that an entry has left the queue. */
  recordDeparture(now: number): void {
    this.advanceWindow(now);
    this.departures += 1;
  }

  /** Discards the measurement when the queue becomes empty. */
  reset(): void {
    this.windowStartedAt = undefined;
    this.departures = 0;
    this.previousDepartures = 0;
    this.hasPreviousWindow = false;
  }

  /**
   * Returns the departures per second over the current and the previous window. With none so far, one
   * departure is assumed now, so the rate falls the longer the queue does not move.
   */
  perSecond(now: number): number {
    this.advanceWindow(now);
    if (this.windowStartedAt === undefined) return 0;
    const elapsed = now - this.windowStartedAt + (this.hasPreviousWindow ? WINDOW_MS : 0);
    const departureCount = Math.max(1, this.departures + this.previousDepartures);
    return (departureCount * MS_PER_SECOND) / Math.max(1, elapsed);
  }

  /** Estimates how long a new entry behind `waiting` others waits; undefined with too few departures. */
  estimateWaitMs(waiting: number, now: number): number | undefined {
    const perSecond = this.perSecond(now);
    if (this.departures + this.previousDepartures < MIN_DEPARTURES_FOR_ESTIMATE) return undefined;
    return (waiting * MS_PER_SECOND) / perSecond;
  }

  private advanceWindow(now: number): void {
    if (this.windowStartedAt === undefined) return;
    const elapsed = now - this.windowStartedAt;
    if (elapsed < WINDOW_MS) return;
    this.previousDepartures = elapsed < 2 * WINDOW_MS ? this.departures : 0;
    this.departures = 0;
    this.hasPreviousWindow = true;
    this.windowStartedAt = now;
  }
}

/** Returns the seconds after which a caller that finds the queue full should retry. */
export function computeQueueFullRetryAfter(waiting: number, perSecond: number): number {
  if (perSecond <= 0) return MAX_RETRY_AFTER_SECONDS;
  return clampRetryAfterSeconds((waiting * REQUIRED_DRAIN_FRACTION) / perSecond);
}

/** Returns the seconds after which an estimated wait should have fallen to the request's deadline. */
export function computeDeadlineRetryAfter(waitMs: number, deadlineMs: number): number {
  return clampRetryAfterSeconds((waitMs - deadlineMs) / MS_PER_SECOND);
}

function clampRetryAfterSeconds(seconds: number): number {
  return Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(MIN_RETRY_AFTER_SECONDS, Math.ceil(seconds)));
}
