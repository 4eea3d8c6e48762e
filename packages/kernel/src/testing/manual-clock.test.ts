import { expect } from 'chai';
import { ManualClock } from './manual-clock.ts';

describe('a clock for tests', () => {
  let clock: ManualClock;
  let fired: string[];

  beforeEach(() => {
    clock = new ManualClock();
    fired = [];
  });

  function note(name: string): () => void {
    return () => fired.push(`${name} at ${clock.monotonic()}`);
  }

  it('fires timers in the order of their times, at these times, also those that others set', () => {
    clock.after(30, note('last'));
    clock.after(10, () => {
      note('first')();
      clock.after(5, note('set by the first'));
    });
    clock.every(12, note('repeated'));
    clock.advance(30);
    expect(fired).to.deep.equal([
      'first at 10',
      'repeated at 12',
      'set by the first at 15',
      'repeated at 24',
      'last at 30',
    ]);
    expect(clock.now()).to.equal(30);
  });

  it('fires a timer that became due while the process stood still once, late', () => {
    clock.every(10, note('repeated'));
    clock.after(25, note('once'));
    clock.stall(100);
    expect(fired).to.deep.equal(['repeated at 100', 'once at 100']);
    clock.advance(10);
    expect(fired.slice(2)).to.deep.equal(['repeated at 110']);
  });

  it('fires no timer that was stopped', () => {
    const later = clock.after(20, note('later'));
    const repeated = clock.every(10, () => {
      note('repeated')();
      repeated.stop();
      later.stop();
    });
    clock.stall(50);
    clock.advance(50);
    expect(fired).to.deep.equal(['repeated at 50']);
  });
});
