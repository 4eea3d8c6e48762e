import { expect } from 'chai';
import { DurationEstimate } from './duration-estimate.ts';
import { fitsGrace } from './grace-fit.ts';
import type { GraceNeed } from './grace-fit.ts';

const NEED: GraceNeed = {
  graceLeftMs: 2_000,
  deadlineLeftMs: 60_000,
  duration: { likelyMs: 1_000, longMs: 1_800 },
  isPastCutoff: true,
  isResumable: false,
};

const CASES: [string, Partial<GraceNeed>, boolean][] = [
  ['nearly certainly ends in time', {}, true],
  ['likely but not certainly ends in time, after the cutoff', { graceLeftMs: 1_850 }, false],
  ['likely ends in time, before it', { graceLeftMs: 1_850, isPastCutoff: false }, true],
  ['likely ends too late, before it', { graceLeftMs: 1_050, isPastCutoff: false }, false],
  [
    'can go on elsewhere, before it',
    { graceLeftMs: 800, isPastCutoff: false, isResumable: true },
    true,
  ],
  ['can go on elsewhere, after it', { graceLeftMs: 800, isResumable: true }, false],
  ['is ended by its own deadline', { graceLeftMs: 700, deadlineLeftMs: 500 }, true],
  ['has a deadline at the very end', { graceLeftMs: 700, deadlineLeftMs: 650 }, false],
  ['is of an unknown duration, after the cutoff', { duration: undefined }, false],
  [
    'is of an unknown duration, before it',
    { duration: undefined, isPastCutoff: false, graceLeftMs: 5_000 },
    true,
  ],
  ['comes after the end, however short', { graceLeftMs: 0, deadlineLeftMs: -5 }, false],
];

describe('what is left of the grace of a planned stop', () => {
  for (const [name, need, fits] of CASES) {
    it(`${fits ? 'holds' : "doesn't hold"} a request that ${name}`, () => {
      expect(fitsGrace({ ...NEED, ...need })).to.equal(fits);
    });
  }
});

describe('the estimate of how long answers take', () => {
  it('knows nothing before the first answer, and is cautious after it', () => {
    const estimate = new DurationEstimate();
    expect(estimate.expected).to.equal(undefined);
    estimate.record(1_000);
    expect(estimate.expected).to.deep.equal({ likelyMs: 1_500, longMs: 3_000 });
  });

  it('comes close to answers that all take the same time, and stays away from those that vary', () => {
    const even = new DurationEstimate();
    const varied = new DurationEstimate();
    for (let index = 0; index < 40; index += 1) {
      even.record(1_000);
      varied.record(index % 4 === 0 ? 2_500 : 500);
    }
    expect(even.expected?.longMs).to.be.closeTo(1_000, 10);
    expect(varied.expected?.longMs).to.be.greaterThan(2_500);
  });
});
