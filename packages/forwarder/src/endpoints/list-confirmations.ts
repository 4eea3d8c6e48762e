/**
 * Waits for a confirmation that the list of endpoints is complete. A list that was complete a moment ago may lack an
 * endpoint that other routers use by now, which a router that was cut off or stood still can't know. Whoever relies
 * on the absence of an endpoint asks for a confirmation that is later than what it decides about.
 */
import type { Clock } from '@poplarpick/kernel';

/**
 * Time for which a list that the store gives out may lack entries of running endpoints after it has returned, in ms:
 * the two seconds within which they register again, and a margin for reading them.
 */
export const ENTRY_RETURN_MS = 2_500;

/** Options of `ListConfirmations`. */
export interface ListConfirmationsOptions {
  clock: Clock;
}

interface Waiter {
  /** Monotonic time at which the list has to have been complete, in ms. */
  since: number;
  resolve: (isConfirmed: boolean) => void;
}

/** The confirmations of one router's list of endpoints. */
export class ListConfirmations {
  private readonly clock: Clock;
  private readonly waiters = new Set<Waiter>();
  private readonly listeners: (() => void)[] = [];
  private latest = Number.NEGATIVE_INFINITY;
  private completeFrom = Number.NEGATIVE_INFINITY;

  constructor({ clock }: ListConfirmationsOptions) {
    this.clock = clock;
  }

  /** Monotonic time at which the list was last known to be complete, in ms; negative infinity if it never was. */
  get confirmedAt(): number {
    return this.latest;
  }

  /** Time since then, in ms. */
  get ageMs(): number {
    return this.clock.monotonic() - this.latest;
  }

  /**
   * Monotonic time from which on a confirmation covers all running endpoints, in ms. One before it may lack those
   * that haven't registered again.
   */
  get wholeFrom(): number {
    return this.completeFrom;
  }

  /** Whether the latest confirmation covers all running endpoints. */
  get isWhole(): boolean {
    return this.latest >= this.completeFrom;
  }

  /** Records that the store may have been away until now, so that entries of running endpoints may be missing. */
  recordReturn(): void {
    this.completeFrom = this.clock.monotonic() + ENTRY_RETURN_MS;
  }

  /** Calls `listener` when a confirmation is awaited that should not wait for the next regular one. */
  onWanted(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Records that the list was complete at monotonic time `at`. */
  record(at: number): void {
    this.latest = Math.max(this.latest, at);
    for (const waiter of this.waiters) {
      if (waiter.since <= this.latest) waiter.resolve(true);
    }
  }

  /** Resolves to whether the list is known to have been complete at `since` or later, after `maxWaitMs` at most. */
  async waitSince(since: number, maxWaitMs: number): Promise<boolean> {
    if (since <= this.latest) return true;
    const isConfirmed = new Promise<boolean>((resolve) => {
      const waiter: Waiter = { since, resolve: (result) => finish(result) };
      const timer = this.clock.afterPoll(maxWaitMs, () => finish(false));
      const finish = (result: boolean): void => {
        timer.stop();
        this.waiters.delete(waiter);
        resolve(result);
      };
      this.waiters.add(waiter);
    });
    for (const listener of this.listeners) listener();
    return isConfirmed;
  }
}
