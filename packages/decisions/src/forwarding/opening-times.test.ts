import { expect } from 'chai';
import { OpeningTimes } from './opening-times.ts';

describe('the times that connections take to open', () => {
  let times: OpeningTimes;

  beforeEach(() => {
    times = new OpeningTimes();
  });

  it('are slow if those to nearly all of several endpoints are', () => {
    for (let index = 0; index < 4; index += 1) times.record(`slow-${index}`, 300, 0);
    expect(times.areSlow(0)).to.equal(true);
    times.record('quick', 2, 0);
    expect(times.areSlow(0)).to.equal(true);
    times.record('quick as well', 2, 0);
    expect(times.areSlow(0)).to.equal(false);
  });

  // Guards against a router that takes a dark endpoint, to which it connects again and again, for a congested link.
  it('are not slow because of a few endpoints', () => {
    for (let index = 0; index < 20; index += 1) times.record(`dark-${index % 3}`, 450, 0);
    expect(times.areSlow(0)).to.equal(false);
  });

  it('are those of the last second', () => {
    for (let index = 0; index < 4; index += 1) times.record(`slow-${index}`, 300, 0);
    expect(times.medianMs(1_000)).to.equal(300);
    expect(times.areSlow(1_001)).to.equal(false);
    expect(times.medianMs(1_001)).to.equal(undefined);
  });
});
