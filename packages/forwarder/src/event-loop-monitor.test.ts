import { expect } from 'chai';
import { Clock, createLogger, LogLevel } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { EventLoopMonitor } from './event-loop-monitor.ts';

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

describe('EventLoopMonitor', () => {
  it('logs once when the router is overloaded and once when it is relieved', () => {
    const lines: string[] = [];
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Info, write: (line) => lines.push(line) });
    let utilization = 0.3;
    const monitor = new EventLoopMonitor({ clock, log, readUtilization: () => utilization });
    monitor.start();
    for (let sample = 0; sample < 100; sample += 1) clock.fireAfter(52);
    expect(monitor.isOverloaded).to.equal(false);
    utilization = 1;
    for (let sample = 0; sample < 20; sample += 1) clock.fireAfter(250);
    expect(monitor.isOverloaded).to.equal(true);
    expect(monitor.meanDelayMs).to.be.within(150, 200);
    utilization = 0.1;
    for (let sample = 0; sample < 100; sample += 1) clock.fireAfter(50);
    expect(monitor.isOverloaded).to.equal(false);
    expect(lines.filter((line) => line.includes('event=router.overloaded'))).to.have.length(1);
    expect(lines.filter((line) => line.includes('event=router.relieved'))).to.have.length(1);
  });

  it('does not count a suspension of the host as a lack of processor time', () => {
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Silent });
    const monitor = new EventLoopMonitor({ clock, log, readUtilization: () => 0 });
    monitor.start();
    clock.fireAfter(6_000);
    clock.fireAfter(50);
    expect(monitor.meanDelayMs).to.be.lessThan(100);
    expect(monitor.isOverloaded).to.equal(false);
  });

  it('reads the utilization of the event loop', async () => {
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Silent });
    const monitor = new EventLoopMonitor({ clock, log });
    monitor.start();
    clock.fireAfter(1_000);
    const endsAt = performance.now() + 50;
    while (performance.now() < endsAt) await new Promise(setImmediate);
    clock.fireAfter(1_000);
    expect(monitor.utilization).to.be.within(0.8, 1);
  });
});
