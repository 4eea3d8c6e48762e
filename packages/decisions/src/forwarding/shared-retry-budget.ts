/**
 * Second attempts out of one budget that all routers share without speaking of it: each router takes
 * its part of the slack, and a share of the requests that it has itself sent. The sum over all routers
 * stays within ratio x requests + slack in every window. Pattern: all endpoints of a pool fail at once,
 * and repeating everything would double the load on what is left.
 */

/** Part of the allowance that is used; the rest covers routers that come, go or start anew. */
const USED_SHARE = 0.6;

/** Options of a `SharedRetryBudget`. */
export interface SharedRetryBudgetOptions {
  /** Second attempts for each request. */
  ratio: number;
  /** Second attempts in each window beyond that, over all routers. */
  slack: number;
  /** Length of the window in ms. */
  windowMs: number;
}

/** Counts the second attempts that one router may still make at one pool. */
export class SharedRetryBudget {
  private readonly options: SharedRetryBudgetOptions;
  private saved: number | undefined;
  private refilledAt = 0;

  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
  }

  /** Notes a request that is sent for the first time. */
  recordRequest(routers: number, now: number): void {
    this.refill(routers, now);
    this.saved = Math.min(this.burst(routers), (this.saved ?? 0) + this.options.ratio * USED_SHARE);
  }

  /** Second attempts that are left, as of the last look. */
  get remaining(): number {
    return this.saved ?? 0;
  }

  /** Takes one second attempt; false where none is left. */
  tryAcquire(routers: number, now: number): boolean {
    this.refill(routers, now);
    if ((this.saved ?? 0) < 1) return false;
    this.saved = (this.saved ?? 0) - 1;
    return true;
  }

  /** The slack comes back slowly, so that no window holds it twice. */
  private refill(routers: number, now: number): void {
    const burst = this.burst(routers);
    this.saved ??= burst;
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const slow = (burst * elapsedMs) / this.options.windowMs;
    this.saved = Math.min(burst, this.saved + slow / 2);
  }

  private burst(routers: number): number {
    return (this.options.slack * USED_SHARE) / (2 * Math.max(1, routers));
  }
}
