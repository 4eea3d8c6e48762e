/**
 * Retry budget that all routers share without coordination. Each router earns retries in proportion to the
 * requests that it sends itself, and gets an equal part of the fleet-wide slack. The sum over all routers
 * stays within ratio x requests + slack in every window. This prevents retry storms: if all endpoints of a
 * pool fail at once, retrying every request would double the load on the remaining endpoints.
 */

/** Fraction of the budget that is used. The rest is a margin for routers that join, leave or restart. */
const USABLE_FRACTION = 0.6;

/** Fraction of a full bucket from which on a retry can be spared for a hedge. */
const SPARE_FRACTION = 0.9;

/** Options of a `SharedRetryBudget`. */
export interface SharedRetryBudgetOptions {
  /** Retries per request. */
  ratio: number;
  /** Additional retries per window, over all routers. */
  slack: number;
  /** Length of the sliding window, in ms. */
  windowMs: number;
}

/** Token bucket of the retries that one router may make at one pool. */
export class SharedRetryBudget {
  private readonly options: SharedRetryBudgetOptions;
  /** Available retries; undefined until the first refill. */
  private available: number | undefined;
  private refilledAt = 0;

  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
  }

  /** Records the first attempt of a request, which earns a fraction of a retry. */
  recordRequest(routers: number, now: number): void {
    this.refill(routers, now);
    this.available = Math.min(
      this.capacity(routers),
      (this.available ?? 0) + this.options.ratio * USABLE_FRACTION,
    );
  }

  /** Retries left as of the last update. */
  get remaining(): number {
    return this.available ?? 0;
  }

  /** Whether the budget has a retry to take. */
  hasRetry(routers: number, now: number): boolean {
    this.refill(routers, now);
    return this.remaining >= 1;
  }

  /** Whether hardly any retries were taken lately, so that one can be spent on what is less urgent than a retry. */
  hasSpare(routers: number, now: number): boolean {
    return this.hasRetry(routers, now) && this.remaining >= this.capacity(routers) * SPARE_FRACTION;
  }

  /** Takes one retry from the budget; false if none is left. */
  tryAcquire(routers: number, now: number): boolean {
    if (!this.hasRetry(routers, now)) return false;
    this.available = (this.available ?? 0) - 1;
    return true;
  }

  /** Refills the bucket with this router's slack, slowly enough that no window contains the slack twice. */
  private refill(routers: number, now: number): void {
    const capacity = this.capacity(routers);
    this.available ??= capacity;
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const refillAmount = (capacity * elapsedMs) / this.options.windowMs;
    this.available = Math.min(capacity, this.available + refillAmount / 2);
  }

  /** Size of the bucket: half of this router's part of the usable slack. */
  private capacity(routers: number): number {
    return (this.options.slack * USABLE_FRACTION) / (2 * Math.max(1, routers));
  }
}
