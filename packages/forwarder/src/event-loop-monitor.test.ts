import { expect } from 'chai';
import { createLogger, LogLevel } from '@poplarpick/kernel';
import { ManualClock } from '@poplarpick/kernel/testing/manual-clock';
import { EventLoopMonitor } from './event-loop-monitor.ts';

describe('EventLoopMonitor', () => {
  it('logs once when the router is overloaded and once when it is relieved', () => {
    const lines: string[] = [];
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Info, write: (line) => lines.push(line) });
    let utilization = 0.3;
    const monitor = new EventLoopMonitor({ clock, log, readUtilization: () => utilization });
    monitor.start();
    for (let sample = 0; sample < 100; sample += 1) clock.stall(52);
    expect(monitor.isOverloaded).to.equal(false);
    utilization = 1;
    for (let sample = 0; sample < 20; sample += 1) clock.stall(250);
    expect(monitor.isOverloaded).to.equal(true);
    expect(monitor.meanDelayMs).to.be.within(150, 200);
    utilization = 0.1;
    for (let sample = 0; sample < 100; sample += 1) clock.stall(50);
    expect(monitor.isOverloaded).to.equal(false);
    expect(lines.filter((line) => line.includes('event=router.overloaded'))).to.have.length(1);
    expect(lines.filter((line) => line.includes('event=router.relieved'))).to.have.length(1);
  });

  it('does not count a suspension of the host as a lack of processor time', () => {
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Silent });
    const monitor = new EventLoopMonitor({ clock, log, readUtilization: () => 0 });
    monitor.start();
    clock.stall(6_000);
    clock.stall(50);
    expect(monitor.meanDelayMs).to.be.lessThan(100);
    expect(monitor.isOverloaded).to.equal(false);
  });

  it('reads the utilization of the event loop', async () => {
    const clock = new ManualClock();
    const log = createLogger({ level: LogLevel.Silent });
    const monitor = new EventLoopMonitor({ clock, log });
    monitor.start();
    clock.stall(1_000);
    const endsAt = performance.now() + 50;
    while (performance.now() < endsAt) await new Promise(setImmediate);
    clock.stall(1_000);
    expect(monitor.utilization).to.be.within(0.8, 1);
  });
});
