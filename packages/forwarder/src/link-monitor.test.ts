import { expect } from 'chai';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { LinkMonitor } from './link-monitor.ts';

const SAMPLE_MS = 50;
const ENDPOINTS = 8;

/** A clock whose one periodic timer fires when the test says so. */
class ManualClock extends SystemClock {
  nowMs = 0;
  private fire: (() => void) | undefined;

  override monotonic(): number {
    return this.nowMs;
  }

  override every(_periodMs: number, run: () => void): Timer {
    this.fire = run;
    return { stop: () => undefined };
  }

  advance(): void {
    this.nowMs += SAMPLE_MS;
    this.fire?.();
  }
}

describe('the link of a router', () => {
  let clock: ManualClock;
  let lines: string[];
  let eventLoop: { readsLate: boolean };
  let monitor: LinkMonitor;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    eventLoop = { readsLate: false };
    const log = createLogger({ level: LogLevel.Info, write: (line) => lines.push(line) });
    monitor = new LinkMonitor({ clock, log, eventLoop });
    monitor.start();
  });

  /** Lets connections to all endpoints open in `elapsedMs` for a time. */
  function open(elapsedMs: number, durationMs: number): void {
    const endsAt = clock.nowMs + durationMs;
    for (let sample = 0; clock.nowMs < endsAt; sample += 1) {
      monitor.recordOpening(`endpoint-${sample % ENDPOINTS}`, elapsedMs);
      clock.advance();
    }
  }

  it('is congested while connections to all endpoints open slowly, and is logged once', () => {
    open(2, 4_000);
    expect(monitor.isCongested).to.equal(false);
    open(450, 3_000);
    expect(monitor.isLate).to.equal(true);
    expect(monitor.isCongested).to.equal(true);
    open(2, 10_000);
    expect(monitor.isCongested).to.equal(false);
    expect(lines.filter((line) => line.includes('router.link_congested'))).to.have.length(1);
    expect(lines.filter((line) => line.includes('router.link_free'))).to.have.length(1);
  });

  // Otherwise a busy router would stay out of the rotation for its link after its event loop is relieved.
  it('is not congested where the event loop is late', () => {
    eventLoop.readsLate = true;
    open(450, 8_000);
    expect(monitor.isLate).to.equal(true);
    expect(monitor.isCongested).to.equal(false);
  });
});
