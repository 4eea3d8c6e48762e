/**
 * Freshness of API keys, measured by the time since the configuration was last confirmed as the latest.
 * A key may be revoked while the router can't reach the store, so a router whose configuration is too old
 * refuses requests that need a key. This guards against a store that refuses some hosts while it serves
 * the operator who revokes a key, and against hosts that are suspended for a while.
 */

/**
 * Maximum age of a confirmation as a fraction of the revocation time. The rest is a margin for a store that
 * answers late.
 */
const MAX_AGE_FRACTION = 0.7;

/** Advance of the wall clock over the monotonic clock that indicates a suspension of the host, in ms. */
export const SUSPENSION_THRESHOLD_MS = 300;

/** Options of a `KeyFreshness`. */
export interface KeyFreshnessOptions {
  /** Time within which a revoked key must no longer be accepted, in ms. */
  revocationMs: number;
}

/** Tracks whether the configuration is fresh enough to accept keys. */
export class KeyFreshness {
  /** Maximum age of a confirmation, in ms. */
  readonly maxAgeMs: number;
  private confirmedAt = Number.NEGATIVE_INFINITY;
  private clockOffset: number | undefined;

  constructor(options: KeyFreshnessOptions) {
    this.maxAgeMs = options.revocationMs * MAX_AGE_FRACTION;
  }

  /** Records that the configuration was the latest at monotonic time `at`. Older times have no effect. */
  confirm(at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  /** Time since the last confirmation, in ms, at monotonic time `now`; infinite if there is none. */
  ageMs(now: number): number {
    return now - this.confirmedAt;
  }

  /** True if the configuration is fresh enough to accept keys. */
  isFresh(now: number): boolean {
    return this.ageMs(now) <= this.maxAgeMs;
  }

  /**
   * Returns true if the host may have been suspended since the last call, and drops the confirmation. The
   * monotonic clock stands still during a suspension, so the wall clock gets ahead of it. A forward step of
   * the wall clock looks the same; it only costs one extra read of the configuration.
   */
  detectSuspension(monotonic: number, wall: number): boolean {
    const offset = wall - monotonic;
    const previousOffset = this.clockOffset ?? offset;
    this.clockOffset = offset;
    if (offset - previousOffset < SUSPENSION_THRESHOLD_MS) return false;
    this.confirmedAt = Number.NEGATIVE_INFINITY;
    return true;
  }
}
