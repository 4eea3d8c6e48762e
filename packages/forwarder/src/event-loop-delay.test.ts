import { expect } from 'chai';
import { Clock, createLogger, LogLevel } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { EventLoopDelay } from './event-loop-delay.ts';

/** A clock with one periodic timer, which fires when the test says so. */
class ManualClock extends Clock {
  nowMs = 0;
  private fire: (() => void) | undefined;

  override now(): number {
    return this.nowMs;
  }

  override monotonic(): number {
    return this.nowMs;
  }

  override after(): Timer {
    return { stop: () => undefined };
  }

  override every(_periodMs: number, run: () => void): Timer {
    this.fire = run;
    return { stop: () => undefined };
  }

  fireAfter(elapsedMs: number): void {
    this.nowMs += elapsedMs;
    this.fire?.();
  }
}

describe('EventLoopDelay', () => {
  it('logs once when the router falls behind and once when it has caught up', () => {
    const lines: string[] = [];
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Info, write: (line) => lines.push(line) });
    const delay = new EventLoopDelay({ clock, log });
    delay.start();
    for (let sample = 0; sample < 10; sample += 1) clock.fireAfter(52);
    expect(delay.isBehind).to.equal(false);
    for (let sample = 0; sample < 10; sample += 1) clock.fireAfter(250);
    expect(delay.isBehind).to.equal(true);
    expect(delay.meanMs).to.be.within(150, 200);
    for (let sample = 0; sample < 20; sample += 1) clock.fireAfter(50);
    expect(delay.isBehind).to.equal(false);
    expect(lines.filter((line) => line.includes('event=router.behind'))).to.have.length(1);
    expect(lines.filter((line) => line.includes('event=router.caught_up'))).to.have.length(1);
  });

  it('does not count a suspension of the host as a lack of processor time', () => {
    const clock = new ManualClock();
    const delay = new EventLoopDelay({ clock, log: createLogger({ level: LogLevel.Silent }) });
    delay.start();
    clock.fireAfter(6_000);
    clock.fireAfter(50);
    expect(delay.meanMs).to.be.lessThan(100);
  });
});
