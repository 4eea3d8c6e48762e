/** A clock for simulated time whose timers fire. Time passes in whole milliseconds. */
import { Clock } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';

/** Runs timers in the order of their times, and those of one time in the order of their creation. */
export class SimulatedClock extends Clock {
  private nowMs = 0;
  private readonly actions = new Map<number, (() => void)[]>();

  override now(): number {
    return this.nowMs;
  }

  override monotonic(): number {
    return this.nowMs;
  }

  override after(delayMs: number, action: () => void): Timer {
    let isStopped = false;
    this.schedule(delayMs, () => {
      if (!isStopped) action();
    });
    return {
      stop: () => {
        isStopped = true;
      },
    };
  }

  override every(periodMs: number, action: () => void): Timer {
    let isStopped = false;
    const fire = (): void => {
      if (isStopped) return;
      action();
      this.schedule(periodMs, fire);
    };
    this.schedule(periodMs, fire);
    return {
      stop: () => {
        isStopped = true;
      },
    };
  }

  /** Lets time pass until `endsAt`. */
  runUntil(endsAt: number): void {
    for (; this.nowMs < endsAt; this.nowMs += 1) {
      const due = this.actions.get(this.nowMs);
      if (due === undefined) continue;
      for (const action of due) action();
      this.actions.delete(this.nowMs);
    }
  }

  private schedule(delayMs: number, action: () => void): void {
    const at = this.nowMs + Math.max(0, Math.round(delayMs));
    const due = this.actions.get(at);
    if (due === undefined) this.actions.set(at, [action]);
    else due.push(action);
  }
}
