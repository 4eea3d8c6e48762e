/**
 * Freshness of keys: when the configuration in hand was last known to be the newest. A router that
 * can't show it soon enough refuses requests with keys, since a key may have been revoked meanwhile.
 * Pattern: a store that turns some hosts away while it serves the operator, and hosts that freeze.
 */

/** Share of the revocation bound for which a proof holds; the rest covers a store that answers late. */
const TRUSTED_SHARE = 0.7;

/** Growth of wall-clock over monotonic time that shows that the host may have been suspended, in ms. */
export const SUSPENSION_THRESHOLD_MS = 300;

/** Options of a `KeyFreshness`. */
export interface KeyFreshnessOptions {
  /** Time within which a revoked key must be out of use, in ms. */
  revocationMs: number;
}

/** Tells whether keys may be trusted. */
export class KeyFreshness {
  /** Time for which a proof holds, in ms. */
  readonly maxAgeMs: number;
  private provenAt = Number.NEGATIVE_INFINITY;
  private wallOffset: number | undefined;

  constructor(options: KeyFreshnessOptions) {
    this.maxAgeMs = options.revocationMs * TRUSTED_SHARE;
  }

  /** Notes that the configuration in hand was the newest at monotonic time `at`. */
  confirm(at: number): void {
    this.provenAt = Math.max(this.provenAt, at);
  }

  /** Age of the last proof at monotonic time `now`. */
  ageMs(now: number): number {
    return now - this.provenAt;
  }

  isFresh(now: number): boolean {
    return this.ageMs(now) <= this.maxAgeMs;
  }

  /**
   * Compares the clocks; returns true, and forgets the proof, when the host may have been suspended:
   * the monotonic clock stands still then. A step of the wall clock looks the same and costs one read.
   */
  detectSuspension(monotonic: number, wall: number): boolean {
    const offset = wall - monotonic;
    const last = this.wallOffset ?? offset;
    this.wallOffset = offset;
    if (offset - last < SUSPENSION_THRESHOLD_MS) return false;
    this.provenAt = Number.NEGATIVE_INFINITY;
    return true;
  }
}
