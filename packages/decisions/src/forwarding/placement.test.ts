import { expect } from 'chai';
import { placePlain, placePrompt } from './placement.ts';
import type { PlacementCandidate, PromptPlacement } from './placement.ts';

const SHARED = 5_000;

function candidate(part: Partial<PlacementCandidate>): PlacementCandidate {
  return {
    incarnation: 'e',
    expectedFirstEventMs: 100,
    tokensAhead: 0,
    uncachedTokens: SHARED,
    isLocal: true,
    failureRate: 0,
    isUnhealthy: false,
    ...part,
  };
}

const LONG: PromptPlacement = {
  affinityKey: 'k',
  weightedTokens: 15_000,
  bodyBytes: 12_000,
  objectiveMs: 800,
};

describe('placement of prompts', () => {
  it('keeps a long beginning at its endpoint while it is on time there, though others are idle', () => {
    const keeper = candidate({
      incarnation: 'keeper',
      uncachedTokens: 0,
      expectedFirstEventMs: 450,
      tokensAhead: 20_000,
    });
    const idle = candidate({ incarnation: 'idle' });
    expect(placePrompt(LONG, [idle, keeper])?.incarnation).to.equal('keeper');
  });

  it('leaves the keeper of a hot beginning that would be far too late there', () => {
    const keeper = candidate({
      incarnation: 'keeper',
      uncachedTokens: 0,
      expectedFirstEventMs: 2_500,
      tokensAhead: 60_000,
    });
    const idle = candidate({ incarnation: 'idle' });
    expect(placePrompt(LONG, [keeper, idle])?.incarnation).to.equal('idle');
  });

  it('moves a short beginning off a busy endpoint', () => {
    const short = { ...LONG, weightedTokens: 3_800, bodyBytes: 800, objectiveMs: 400 };
    const keeper = candidate({
      incarnation: 'keeper',
      uncachedTokens: 0,
      tokensAhead: 12_000,
      expectedFirstEventMs: 250,
    });
    const idle = candidate({ incarnation: 'idle', uncachedTokens: 200 });
    expect(placePrompt(short, [keeper, idle])?.incarnation).to.equal('idle');
  });

  it('brings a new beginning to the same endpoint of a data centre from every router', () => {
    const names = ['a', 'b', 'c', 'd'];
    const there = names.map((incarnation) => candidate({ incarnation }));
    const seen = new Set(
      [there, [...there].reverse()].map((options) => placePrompt(LONG, options)?.incarnation),
    );
    expect(seen.size).to.equal(1);
  });

  it('stays in the data centre where nothing speaks for leaving it', () => {
    const far = candidate({ incarnation: 'far', isLocal: false, uncachedTokens: 0 });
    const near = candidate({ incarnation: 'near', uncachedTokens: 0 });
    expect(placePrompt(LONG, [far, near])?.incarnation).to.equal('near');
  });

  it('avoids an endpoint that fails or seems broken, and takes it where there is no other', () => {
    const broken = candidate({ incarnation: 'broken', uncachedTokens: 0, isUnhealthy: true });
    const failing = candidate({ incarnation: 'failing', uncachedTokens: 0, failureRate: 0.5 });
    const sound = candidate({ incarnation: 'sound' });
    expect(placePrompt(LONG, [broken, failing, sound])?.incarnation).to.equal('sound');
    expect(placePrompt(LONG, [broken])?.incarnation).to.equal('broken');
    expect(placePrompt(LONG, [])).to.equal(undefined);
  });
});

describe('placement of plain requests', () => {
  it('goes where the answer comes soonest, near rather than far', () => {
    const near = candidate({ incarnation: 'near', expectedFirstEventMs: 45 });
    const far = candidate({ incarnation: 'far', expectedFirstEventMs: 43, isLocal: false });
    const busy = candidate({ incarnation: 'busy', expectedFirstEventMs: 90 });
    expect(placePlain([busy, far, near])?.incarnation).to.equal('near');
    expect(placePlain([busy, far])?.incarnation).to.equal('far');
  });
});
