/** A clock for tests: time stands still until the test lets it pass. */
import { Clock } from '../clock.ts';
import type { Timer } from '../clock.ts';

interface PendingTimer {
  /** Time at which it is due, in ms. */
  at: number;
  /** Period of a timer that repeats, in ms; undefined if it fires once. */
  periodMs: number | undefined;
  action: () => void;
}

/** Both its times are `nowMs`. A test may set that directly, which fires no timers. */
export class ManualClock extends Clock {
  nowMs = 0;
  private timers: PendingTimer[] = [];

  override now(): number {
    return this.nowMs;
  }

  override monotonic(): number {
    return this.nowMs;
  }

  override after(delayMs: number, action: () => void): Timer {
    return this.add({ at: this.nowMs + delayMs, periodMs: undefined, action });
  }

  override every(periodMs: number, action: () => void): Timer {
    return this.add({ at: this.nowMs + periodMs, periodMs, action });
  }

  /** Lets time pass; each timer fires at the time at which it is due. */
  advance(durationMs: number): void {
    const endsAt = this.nowMs + durationMs;
    for (let timer = this.findDue(endsAt); timer !== undefined; timer = this.findDue(endsAt)) {
      this.nowMs = Math.max(this.nowMs, timer.at);
      this.fire(timer);
    }
    this.nowMs = endsAt;
  }

  /** Lets time pass while the process stands still; the timers that are due then fire late, each once. */
  stall(durationMs: number): void {
    this.nowMs += durationMs;
    const late = this.timers.filter(({ at }) => at <= this.nowMs).sort((a, b) => a.at - b.at);
    for (const timer of late) {
      if (this.timers.includes(timer)) this.fire(timer);
    }
  }

  private add(timer: PendingTimer): Timer {
    this.timers.push(timer);
    return { stop: () => this.remove(timer) };
  }

  private remove(timer: PendingTimer): void {
    this.timers = this.timers.filter((other) => other !== timer);
  }

  /** The first timer that is due by `endsAt`; the one that was set first, if several are due at once. */
  private findDue(endsAt: number): PendingTimer | undefined {
    const due = this.timers.filter(({ at }) => at <= endsAt);
    const firstAt = Math.min(...due.map(({ at }) => at));
    return due.find(({ at }) => at === firstAt);
  }

  private fire(timer: PendingTimer): void {
    if (timer.periodMs === undefined) this.remove(timer);
    else timer.at = this.nowMs + timer.periodMs;
    timer.action();
  }
}
