/**
 * Warm-up of one incarnation of an endpoint. While it is cold, it bears few requests a second and crashes at many
 * more. Its entry in the store says for how long; it may turn cold again at any moment.
 *
 * Load pattern: the endpoints of a data centre come back at one moment, empty, and therefore look best to every
 * router. Two sources say that an endpoint is cold, and the later end holds:
 *
 * - Its entry. A value that is merely repeated is no new statement, so it doesn't extend the warm-up.
 * - Caution after its data centre was taken back: it may have turned cold before its entry says so.
 *
 * Times are those of the monotonic clock, so steps of the wall clock have no effect.
 */

/** Longest warm-up, in ms, as a bound on faulty entries. */
const MAX_WARM_UP_MS = 60_000;

/** The warm-up of one incarnation, and the requests that this router has sent meanwhile. */
export class WarmUp {
  private announcedMs = 0;
  private announcedUntil = Number.NEGATIVE_INFINITY;
  private cautionUntil = Number.NEGATIVE_INFINITY;
  private sentAt = Number.NEGATIVE_INFINITY;

  /** Records the time for which the endpoint stays cold according to its entry; 0 says that it is warm. */
  recordAnnounced(remainingMs: number, now: number): void {
    if (remainingMs === this.announcedMs) return;
    this.announcedMs = remainingMs;
    this.announcedUntil = now + Math.min(MAX_WARM_UP_MS, Math.max(0, remainingMs));
  }

  /** Treats the endpoint as cold for some time, whatever its entry says. */
  recordCaution(durationMs: number, now: number): void {
    this.cautionUntil = Math.max(this.cautionUntil, now + durationMs);
  }

  /** Records a request that this router sends. */
  recordSent(now: number): void {
    this.sentAt = now;
  }

  isCold(now: number): boolean {
    return now < this.announcedUntil || now < this.cautionUntil;
  }

  /** Whether this router may send a request, if it leaves `gapMs` between two; undefined allows it none. */
  takesRequest(gapMs: number | undefined, now: number): boolean {
    if (!this.isCold(now)) return true;
    return gapMs !== undefined && now - this.sentAt >= gapMs;
  }
}
