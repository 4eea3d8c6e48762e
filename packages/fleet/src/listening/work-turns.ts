/**
 * Shares the turns of the event loop between connections that have much to parse. A block of small requests, or a body in
 * chunks of one byte, costs far more time than its size tells; timers, streams and other callers wait for it.
 */

/** Time of one turn that parsing may take, in ms, before the rest waits for the next turn. */
const TURN_MS = 10;

/** Options of `WorkTurns.wait`. */
export interface WaitOptions {
  /** The connection has got no time since it waited last; such connections keep their place. */
  hadNoTime: boolean;
}

/** The turns of one process. */
export class WorkTurns {
  private endsAt: number | undefined;
  private first: (() => void)[] = [];
  private others: (() => void)[] = [];

  /** Whether this turn has time for more parsing. */
  get hasTime(): boolean {
    if (this.endsAt !== undefined) return performance.now() < this.endsAt;
    this.endsAt = performance.now() + TURN_MS;
    setImmediate(() => this.beginNext());
    return true;
  }

  /** Calls `action` in the next turn, in which it may have to wait again. */
  wait(action: () => void, { hadNoTime }: WaitOptions): void {
    if (hadNoTime) this.first.push(action);
    else this.others.push(action);
  }

  private beginNext(): void {
    const waiting = [...this.first, ...this.others];
    this.endsAt = undefined;
    this.first = [];
    this.others = [];
    for (const action of waiting) action();
  }
}
