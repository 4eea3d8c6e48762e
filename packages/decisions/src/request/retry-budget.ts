/**
 * The retry budget: every request adds a tenth of a retry, so that attempts stay within 1.1 times the
 * requests however many endpoints fail. Each router has its own; their sum keeps the fleet's bound.
 */

/** Retries that one request adds. */
export const RETRIES_PER_REQUEST = 0.1;

/** Most retries that a quiet time may save up. */
const SAVED_RETRIES_LIMIT = 100;

const FIRST_DELAY_MS = 50;
const LONGEST_DELAY_MS = 1_000;

/** Counts what may be tried again. */
export class RetryBudget {
  private saved = 0;

  /** Notes a request that has arrived. */
  recordRequest(): void {
    this.saved = Math.min(SAVED_RETRIES_LIMIT, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; false where none is left. */
  tryAcquire(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}

/** Time to wait before the next attempt: doubles with each, and differs by up to half each way. */
export function computeRetryDelayMs(attempts: number, random: number): number {
  const delayMs = Math.min(FIRST_DELAY_MS * 2 ** (attempts - 1), LONGEST_DELAY_MS);
  return delayMs * (0.5 + random);
}
