/** Number of requests in a sliding window, counted by slots. */

/** Slots of the window. The oldest one leaves it as a whole, so that no request counts for longer than the window. */
const SLOTS = 10;

/** Counts the requests of the last moments. */
export class RequestCount {
  private readonly slotMs: number;
  private readonly counts = new Array<number>(SLOTS).fill(0);
  /** Number of the latest slot since the origin of time. */
  private latestSlot = 0;
  private total = 0;

  constructor(windowMs: number) {
    this.slotMs = windowMs / SLOTS;
  }

  /** Counts a request. */
  record(now: number): void {
    this.advance(now);
    const index = this.latestSlot % SLOTS;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
  }

  /** Requests in the window that ends now. */
  countAt(now: number): number {
    this.advance(now);
    return this.total;
  }

  /** Clears the slots that have left the window. */
  private advance(now: number): void {
    const slot = Math.floor(now / this.slotMs);
    const first = Math.max(this.latestSlot + 1, slot - SLOTS + 1);
    for (let cleared = first; cleared <= slot; cleared += 1) {
      const index = cleared % SLOTS;
      this.total -= this.counts[index] ?? 0;
      this.counts[index] = 0;
    }
    this.latestSlot = Math.max(this.latestSlot, slot);
  }
}
