/** A bound on what is sent: so many bytes a second on average, of which a second's worth may go at once. */

/** Options of a `ByteBudget`. */
export interface ByteBudgetOptions {
  bytesPerSecond: number;
  /** Monotonic time, in ms. */
  now: number;
}

/** Counts what is sent against a rate. */
export class ByteBudget {
  private readonly bytesPerSecond: number;
  private left: number;
  private refilledAt: number;

  constructor({ bytesPerSecond, now }: ByteBudgetOptions) {
    this.bytesPerSecond = bytesPerSecond;
    this.left = bytesPerSecond;
    this.refilledAt = now;
  }

  /** Whether more may be sent. */
  hasLeft(now: number): boolean {
    this.refill(now);
    return this.left > 0;
  }

  /** Records what was sent. It may be more than is left; nothing is left then until that is made up for. */
  spend(bytes: number, now: number): void {
    this.refill(now);
    this.left -= bytes;
  }

  private refill(now: number): void {
    const added = ((now - this.refilledAt) / 1_000) * this.bytesPerSecond;
    this.left = Math.min(this.bytesPerSecond, this.left + added);
    this.refilledAt = now;
  }
}
