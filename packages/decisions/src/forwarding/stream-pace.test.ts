import { expect } from 'chai';
import { StreamPace } from './stream-pace.ts';

const STREAMS = 20;
const TOKENS = 1_000;
const EVENTS = 100;

/** A pace that has learned that streams of 1,000 tokens have 100 events and 10 s for them. */
function createPace(pauseMs = 1_000): StreamPace {
  const pace = new StreamPace();
  for (let stream = 0; stream < STREAMS; stream += 1) {
    pace.recordCompleted(TOKENS, EVENTS);
    pace.recordNeed({ remainingMs: 10_000, outputTokens: TOKENS, pauseMs });
  }
  return pace;
}

describe('the pace of streams', () => {
  it('is used up where events come as slowly as the longest streams bear', () => {
    const pace = createPace();
    for (let now = 0; now < 5_000; now += 50) pace.recordEvent('fast', 50, now);
    for (let now = 0; now < 5_000; now += 100) pace.recordEvent('slow', 120, now);
    expect(pace.paceUsed('fast', 5_000)).to.be.closeTo(0.5, 0.01);
    expect(pace.paceUsed('slow', 5_000)).to.be.closeTo(1.2, 0.01);
  });

  it('is not known of an endpoint without events, nor for long after the last one', () => {
    const pace = createPace();
    expect(pace.paceUsed('e', 0)).to.equal(0);
    pace.recordEvent('e', 200, 0);
    expect(pace.paceUsed('e', 1_000)).to.be.greaterThan(1);
    expect(pace.paceUsed('e', 2_500)).to.equal(0);
  });

  it('is not known before a few streams have shown what they need', () => {
    const pace = new StreamPace();
    pace.recordEvent('e', 200, 0);
    pace.recordNeed({ remainingMs: 10, outputTokens: TOKENS, pauseMs: 10 });
    expect(pace.paceUsed('e', 0)).to.equal(0);
  });
});

describe('the risk that streams pause for too long', () => {
  it('is that of the longest pause seen, or of a shorter prefill', () => {
    const pace = createPace(250);
    for (let now = 0; now < 1_000; now += 40) pace.recordEvent('e', 40, now);
    pace.recordEvent('e', 300, 1_300);
    expect(pace.pauseRisk('e', Number.POSITIVE_INFINITY, 1_300)).to.equal(1);
    expect(pace.pauseRisk('e', 50, 1_300)).to.equal(0);
  });

  it('is none at an endpoint that prefills long prompts without a pause', () => {
    const pace = createPace(250);
    for (let now = 0; now < 2_000; now += 100) pace.recordEvent('e', 100, now);
    expect(pace.pauseRisk('e', 5_000, 2_000)).to.equal(0);
  });

  it('is not known of an endpoint without events, nor long after the last one', () => {
    const pace = createPace(250);
    expect(pace.pauseRisk('e', 5_000, 0)).to.equal(0);
    pace.recordEvent('e', 400, 0);
    expect(pace.pauseRisk('e', 5_000, 9_000)).to.equal(1);
    expect(pace.pauseRisk('e', 5_000, 11_000)).to.equal(0);
  });
});

describe('the pauses that routers tell each other', () => {
  it('are the long ones of endpoints at which the router has streams', () => {
    const pace = createPace(250);
    pace.recordEvent('slow', 300, 0);
    pace.recordEvent('fast', 60, 0);
    expect(pace.pauseToTell('slow', 500)).to.equal(300);
    expect(pace.pauseToTell('fast', 500)).to.equal(undefined);
    expect(pace.pauseToTell('slow', 1_500)).to.equal(undefined);
  });

  it('hold for an endpoint at which this router has no streams, on average over the peers', () => {
    const pace = createPace(250);
    pace.applyToldPause('e', 'a', 400, 0);
    expect(pace.pauseRisk('e', Number.POSITIVE_INFINITY, 1_000)).to.equal(1);
    pace.applyToldPause('e', 'b', 0, 500);
    expect(pace.pauseRisk('e', Number.POSITIVE_INFINITY, 1_000)).to.be.within(0.01, 0.99);
    expect(pace.pauseRisk('e', Number.POSITIVE_INFINITY, 11_000)).to.equal(0);
  });
});
