/**
 * How fast a queue drains, measured over the last while, and what to tell a caller that finds it
 * full: the time in which a tenth of it will have drained, so that a caller who comes back then finds
 * room even if others come too.
 */

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;
const LEAST_SECONDS = 1;
const MOST_SECONDS = 60;
const ROOM_SHARE = 0.1;

/** Counts what leaves a queue. */
export class DrainRate {
  private startedAt: number | undefined;
  private count = 0;
  private previousCount = 0;

  /** Notes that an entry has left the queue. */
  note(now: number): void {
    this.turn(now);
    this.count += 1;
  }

  /** Entries per second over the current and the previous window. */
  perSecond(now: number): number {
    this.turn(now);
    if (this.startedAt === undefined) return 0;
    const elapsed = now - this.startedAt + (this.previousCount > 0 ? WINDOW_MS : 0);
    if (elapsed <= 0) return 0;
    return ((this.count + this.previousCount) * MS_PER_SECOND) / elapsed;
  }

  private turn(now: number): void {
    this.startedAt ??= now;
    const elapsed = now - this.startedAt;
    if (elapsed < WINDOW_MS) return;
    this.previousCount = elapsed < 2 * WINDOW_MS ? this.count : 0;
    this.count = 0;
    this.startedAt = now;
  }
}

/** Seconds after which a caller may expect room in a full queue. */
export function computeRetryAfter(waiting: number, perSecond: number): number {
  if (perSecond <= 0) return MOST_SECONDS;
  const seconds = Math.ceil((waiting * ROOM_SHARE) / perSecond);
  return Math.min(MOST_SECONDS, Math.max(LEAST_SECONDS, seconds));
}
