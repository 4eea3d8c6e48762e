/**
 * Injectable time source. Decision functions take the current time as an argument; background tasks
 * take a `Clock`, so that tests can control their timing. All times are in milliseconds.
 */

/** A handle that cancels a one-shot or periodic timer. */
export interface Timer {
  stop(): void;
}

/** A source of time and timers. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
  abstract now(): number;
  /** Monotonic time in milliseconds from an arbitrary origin; never jumps back. */
  abstract monotonic(): number;
  /** Calls `action` once after `delayMs`. */
  abstract after(delayMs: number, action: () => void): Timer;
  /** Calls `action` every `periodMs` until stopped. */
  abstract every(periodMs: number, action: () => void): Timer;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override now(): number {
    return Date.now();
  }

  override monotonic(): number {
    return performance.now();
  }

  override after(delayMs: number, action: () => void): Timer {
    const handle = setTimeout(action, delayMs);
    return { stop: () => clearTimeout(handle) };
  }

  override every(periodMs: number, action: () => void): Timer {
    const handle = setInterval(action, periodMs);
    return { stop: () => clearInterval(handle) };
  }
}
