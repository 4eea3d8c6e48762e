/** Rate of requests over a short sliding window, counted in slots so that its memory doesn't grow with the rate. */

const SLOT_MS = 250;

const SLOTS = 8;

/** Time over which a rate is measured, in s. */
export const RATE_WINDOW_S = (SLOT_MS * SLOTS) / 1_000;

/** Counts requests over the last two seconds. */
export class RequestRate {
  /** Requests of each slot, by the number of the slot modulo `SLOTS`. */
  private readonly counts = new Array<number>(SLOTS).fill(0);
  private total = 0;
  /** Number of the slot that was written last. */
  private latestSlot = 0;

  /** Counts a request at monotonic time `now`, in ms. */
  record(now: number): void {
    this.advance(now);
    const index = this.latestSlot % SLOTS;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
  }

  /** Mean number of requests a second over the window. */
  perSecond(now: number): number {
    this.advance(now);
    return this.total / RATE_WINDOW_S;
  }

  /** Empties the slots that have left the window. */
  private advance(now: number): void {
    const slot = Math.floor(now / SLOT_MS);
    const firstStale = Math.max(this.latestSlot + 1, slot - SLOTS + 1);
    for (let stale = firstStale; stale <= slot; stale += 1) {
      const index = stale % SLOTS;
      this.total -= this.counts[index] ?? 0;
      this.counts[index] = 0;
    }
    this.latestSlot = Math.max(this.latestSlot, slot);
  }
}
