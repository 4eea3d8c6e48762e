/**
 * Shares the turns of the event loop between connections that have much to parse. A block of small requests, or a body in
 * chunks of one byte, costs far more time than its size tells; timers, streams and other callers wait for it.
 */

/** Time of one turn that parsing may take, in ms, before the rest waits for the next turn. */
const TURN_MS = 10;

/** Connections that go on in one turn: each may read a block before it has to wait again. */
const MAX_RESUMED = 32;

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
  private isNextScheduled = false;

  /** Whether the time of this turn is used up; asking costs nothing in a turn without much to parse. */
  get isUsedUp(): boolean {
    return this.endsAt !== undefined && performance.now() >= this.endsAt;
  }

  /** Whether this turn has time for more parsing. */
  get hasTime(): boolean {
    if (this.endsAt !== undefined) return performance.now() < this.endsAt;
    this.endsAt = performance.now() + TURN_MS;
    this.scheduleNext();
    return true;
  }

  /** Calls `action` in a later turn, in which it may have to wait again. */
  wait(action: () => void, { hadNoTime }: WaitOptions): void {
    if (hadNoTime) this.first.push(action);
    else this.others.push(action);
    this.scheduleNext();
  }

  private scheduleNext(): void {
    if (this.isNextScheduled) return;
    this.isNextScheduled = true;
    setImmediate(() => this.beginNext());
  }

  private beginNext(): void {
    this.isNextScheduled = false;
    this.endsAt = undefined;
    const waiting = [...this.first, ...this.others];
    this.first = waiting.splice(MAX_RESUMED);
    this.others = [];
    for (const action of waiting) action();
    if (this.first.length > 0) this.scheduleNext();
  }
}
