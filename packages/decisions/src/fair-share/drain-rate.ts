/**
 * How fast a queue drains, measured over the last while in which something waited, and what follows
 * for callers: when one that finds the queue full may come back, and whether a request would reach
 * the head of the queue before its deadline.
 */

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;
const LEAST_SECONDS = 1;
const MOST_SECONDS = 60;

/** Part of a full queue that is to drain before a refused caller comes back. */
const ROOM_SHARE = 0.1;

/** Entries that must have left the queue before a wait is foreseen from its rate. */
const LEAST_COUNT = 20;

/** Counts what leaves a queue while something waits in it. */
export class DrainRate {
  private startedAt: number | undefined;
  private count = 0;
  private previousCount = 0;
  private hasPrevious = false;

  /** Notes that an entry waits. */
  start(now: number): void {
    this.startedAt ??= now;
  }

  /** Notes that an entry has left the queue. */
  recordDeparture(now: number): void {
    this.turn(now);
    this.count += 1;
  }

  /** Notes that the queue is empty. */
  reset(): void {
    this.startedAt = undefined;
    this.count = 0;
    this.previousCount = 0;
    this.hasPrevious = false;
  }

  /**
   * Entries per second over the current and the previous window. Where none has left yet, the next is
   * taken to leave now, so the rate falls with the time that nothing happens.
   */
  perSecond(now: number): number {
    this.turn(now);
    if (this.startedAt === undefined) return 0;
    const elapsed = now - this.startedAt + (this.hasPrevious ? WINDOW_MS : 0);
    const count = Math.max(1, this.count + this.previousCount);
    return (count * MS_PER_SECOND) / Math.max(1, elapsed);
  }

  /** Time in milliseconds that a new entry behind `waiting` others waits; undefined where unknown. */
  estimateWaitMs(waiting: number, now: number): number | undefined {
    const perSecond = this.perSecond(now);
    if (this.count + this.previousCount < LEAST_COUNT) return undefined;
    return (waiting * MS_PER_SECOND) / perSecond;
  }

  private turn(now: number): void {
    if (this.startedAt === undefined) return;
    const elapsed = now - this.startedAt;
    if (elapsed < WINDOW_MS) return;
    this.previousCount = elapsed < 2 * WINDOW_MS ? this.count : 0;
    this.count = 0;
    this.hasPrevious = true;
    this.startedAt = now;
  }
}

/** Seconds after which a caller may expect room in a full queue. */
export function computeQueueFullRetryAfter(waiting: number, perSecond: number): number {
  if (perSecond <= 0) return MOST_SECONDS;
  return boundSeconds((waiting * ROOM_SHARE) / perSecond);
}

/** Seconds after which a wait that is too long for a deadline will have become short enough. */
export function computeDeadlineRetryAfter(waitMs: number, deadlineMs: number): number {
  return boundSeconds((waitMs - deadlineMs) / MS_PER_SECOND);
}

function boundSeconds(seconds: number): number {
  return Math.min(MOST_SECONDS, Math.max(LEAST_SECONDS, Math.ceil(seconds)));
}
