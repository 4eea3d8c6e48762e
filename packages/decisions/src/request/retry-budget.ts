/**
 * Retry budget: every request adds a tenth of a retry, so attempts stay within 1.1 times the requests
 * however many endpoints fail. Each router has its own budget; the bound holds for their sum and so
 * for the fleet.
 */

/** Retries that one request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.1;

/** Largest number of unused retries that can accumulate. */
const MAX_SAVED_RETRIES = 100;

const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;

/** Limits retries to a fraction of requests, as a token bucket that requests refill. */
export class RetryBudget {
  private availableRetries = 0;

  /** Records a request that has arrived, which adds to the budget. */
  recordRequest(): void {
    this.availableRetries = Math.min(
      MAX_SAVED_RETRIES,
      this.availableRetries + RETRIES_PER_REQUEST,
    );
  }

  /** Takes one retry from the budget; returns false if none is left. */
  tryAcquire(): boolean {
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}

/**
 * Returns the delay before the next attempt: exponential backoff with jitter of up to half the delay
 * either way. `random` is in [0, 1).
 */
export function computeRetryDelayMs(attempts: number, random: number): number {
  const delayMs = Math.min(BASE_DELAY_MS * 2 ** (attempts - 1), MAX_DELAY_MS);
  return delayMs * (0.5 + random);
}
