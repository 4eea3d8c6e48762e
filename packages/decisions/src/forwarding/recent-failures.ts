/** Short memory of the routers that were asked and didn't help, so that others are asked meanwhile. */

/** Time for which a failure counts, in ms. */
const FAILURE_MS = 1_500;

/** The routers that have failed lately, by address. */
export class RecentFailures {
  private readonly failedUntil = new Map<string, number>();

  /** Records a failure, and drops those that no longer count. */
  record(address: string, now: number): void {
    for (const [other, until] of this.failedUntil) {
      if (now >= until) this.failedUntil.delete(other);
    }
    this.failedUntil.set(address, now + FAILURE_MS);
  }

  /** Forgets the failures of a router that has helped. */
  clear(address: string): void {
    this.failedUntil.delete(address);
  }

  has(address: string, now: number): boolean {
    return now < (this.failedUntil.get(address) ?? Number.NEGATIVE_INFINITY);
  }
}
