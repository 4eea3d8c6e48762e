import { expect } from 'chai';
import { OverloadDetector } from './overload-detector.ts';

const SAMPLE_MS = 50;

/** Records a utilization for a time; returns the time at its end. */
function run(
  detector: OverloadDetector,
  utilization: number,
  startsAt: number,
  durationMs: number,
): number {
  const endsAt = startsAt + durationMs;
  for (let now = startsAt; now < endsAt; now += SAMPLE_MS) detector.record(utilization, now);
  return endsAt;
}

describe('OverloadDetector', () => {
  it('reports an overload while the event loop has no idle time, and for a while after it', () => {
    const detector = new OverloadDetector();
    let now = run(detector, 0.6, 0, 3_000);
    expect(detector.isOverloaded).to.equal(false);
    now = run(detector, 1, now, 3_000);
    expect(detector.isOverloaded).to.equal(true);
    now = run(detector, 0.2, now, 1_000);
    expect(detector.isOverloaded).to.equal(true);
    run(detector, 0.2, now, 5_000);
    expect(detector.isOverloaded).to.equal(false);
  });

  it('lasts longer each time that the callers come back too early', () => {
    const detector = new OverloadDetector();
    let now = run(detector, 0.2, 0, 3_000);
    for (const holdMs of [5_000, 10_000, 20_000, 20_000]) {
      now = run(detector, 1, now, 3_000);
      expect(detector.isOverloaded).to.equal(true);
      now = run(detector, 0.2, now, holdMs - 2_000);
      expect(detector.isOverloaded, `after ${holdMs} ms`).to.equal(true);
      now = run(detector, 0.2, now, 2_000);
      expect(detector.isOverloaded, `after ${holdMs} ms and more`).to.equal(false);
    }
    now = run(detector, 0.2, now, 7_000);
    now = run(detector, 1, now, 3_000);
    run(detector, 0.2, now, 5_000);
    expect(detector.isOverloaded).to.equal(false);
  });

  it('ignores the work of a start', () => {
    const detector = new OverloadDetector();
    const now = run(detector, 1, 0, 2_000);
    run(detector, 0.5, now, 2_000);
    expect(detector.isOverloaded).to.equal(false);
  });

  it('ignores a busy moment', () => {
    const detector = new OverloadDetector();
    const now = run(detector, 0.5, 0, 4_000);
    run(detector, 1, now, 500);
    expect(detector.isOverloaded).to.equal(false);
  });

  it('closes connections only once new ones reach other routers', () => {
    const detector = new OverloadDetector();
    run(detector, 0.1, 0, 3_000);
    const now = run(detector, 1, 3_000, 3_000);
    expect(detector.shouldMoveCallers(now)).to.equal(false);
    expect(detector.shouldMoveCallers(run(detector, 1, now, 2_000))).to.equal(true);
  });
});
