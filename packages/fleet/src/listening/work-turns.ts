/**
 * Shares the turns of the event loop between connections that have much to parse. A block of small requests, or a body in
 * chunks of one byte, costs far more time than its size tells; timers, streams and other callers wait for it.
 */

/** Time of one turn that parsing may take, in ms, before the rest waits for the next turn. */
const TURN_MS = 10;

/** The turns of one process. */
export class WorkTurns {
  private endsAt: number | undefined;
  private waiting: (() => void)[] = [];

  /** Whether this turn has time for more parsing. */
  get hasTime(): boolean {
    if (this.endsAt !== undefined) return performance.now() < this.endsAt;
    this.endsAt = performance.now() + TURN_MS;
    setImmediate(() => this.beginNext());
    return true;
  }

  /** Calls `action` in a later turn that has time for it; in the order of the calls. */
  wait(action: () => void): void {
    this.waiting.push(action);
  }

  private beginNext(): void {
    this.endsAt = undefined;
    const { waiting } = this;
    this.waiting = [];
    let count = 0;
    for (const action of waiting) {
      if (!this.hasTime) break;
      action();
      count += 1;
    }
    this.waiting = [...waiting.slice(count), ...this.waiting];
  }
}
