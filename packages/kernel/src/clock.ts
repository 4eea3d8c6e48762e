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

  /**
   * Calls `action` once after `delayMs` and after the sockets have been read. Use it to conclude that something hasn't
   * come: after a stall, the event loop runs its timers before it reads what has come meanwhile. By default, for clocks
   * without sockets, the same as `after`.
   */
  afterPoll(delayMs: number, action: () => void): Timer {
    return this.after(delayMs, action);
  }
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

  override afterPoll(delayMs: number, action: () => void): Timer {
    let isStopped = false;
    const timer = this.after(delayMs, () => {
      void pollSockets().then(() => {
        if (!isStopped) action();
      });
    });
    return {
      stop: () => {
        isStopped = true;
        timer.stop();
      },
    };
  }

  override every(periodMs: number, action: () => void): Timer {
    const handle = setInterval(action, periodMs);
    return { stop: () => clearInterval(handle) };
  }
}

/**
 * Lets the event loop poll its sockets. It polls twice, since what it has read last may be followed by what it reads one
 * iteration later.
 */
export async function pollSockets(): Promise<void> {
  await new Promise(setImmediate);
  await new Promise(setImmediate);
}
