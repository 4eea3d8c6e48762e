import { expect } from 'chai';
import { placePlain, placePrompt } from './placement.ts';
import type { Candidate, PromptPlacement } from './placement.ts';

const SHARED = 5_000;

function candidate(part: Partial<Candidate>): Candidate {
  return {
    name: 'e',
    firstEventMs: 100,
    tokensAhead: 0,
    missingTokens: SHARED,
    isNear: true,
    failures: 0,
    isBroken: false,
    ...part,
  };
}

const LONG: PromptPlacement = {
  affinity: 'k',
  sizeTokens: 15_000,
  bodyBytes: 12_000,
  objectiveMs: 800,
};

describe('placement of prompts', () => {
  it('keeps a long beginning at its endpoint while it is on time there, though others are idle', () => {
    const keeper = candidate({
      name: 'keeper',
      missingTokens: 0,
      firstEventMs: 450,
      tokensAhead: 20_000,
    });
    const idle = candidate({ name: 'idle' });
    expect(placePrompt(LONG, [idle, keeper])?.name).to.equal('keeper');
  });

  it('leaves the keeper of a hot beginning that would be far too late there', () => {
    const keeper = candidate({
      name: 'keeper',
      missingTokens: 0,
      firstEventMs: 2_500,
      tokensAhead: 60_000,
    });
    const idle = candidate({ name: 'idle' });
    expect(placePrompt(LONG, [keeper, idle])?.name).to.equal('idle');
  });

  it('moves a short beginning off a busy endpoint', () => {
    const short = { ...LONG, sizeTokens: 3_800, bodyBytes: 800, objectiveMs: 400 };
    const keeper = candidate({
      name: 'keeper',
      missingTokens: 0,
      tokensAhead: 12_000,
      firstEventMs: 250,
    });
    const idle = candidate({ name: 'idle', missingTokens: 200 });
    expect(placePrompt(short, [keeper, idle])?.name).to.equal('idle');
  });

  it('brings a new beginning to the same endpoint of a data centre from every router', () => {
    const names = ['a', 'b', 'c', 'd'];
    const there = names.map((name) => candidate({ name }));
    const seen = new Set(
      [there, [...there].reverse()].map((options) => placePrompt(LONG, options)?.name),
    );
    expect(seen.size).to.equal(1);
  });

  it('stays in the data centre where nothing speaks for leaving it', () => {
    const far = candidate({ name: 'far', isNear: false, missingTokens: 0 });
    const near = candidate({ name: 'near', missingTokens: 0 });
    expect(placePrompt(LONG, [far, near])?.name).to.equal('near');
  });

  it('avoids an endpoint that fails or seems broken, and takes it where there is no other', () => {
    const broken = candidate({ name: 'broken', missingTokens: 0, isBroken: true });
    const failing = candidate({ name: 'failing', missingTokens: 0, failures: 0.5 });
    const sound = candidate({ name: 'sound' });
    expect(placePrompt(LONG, [broken, failing, sound])?.name).to.equal('sound');
    expect(placePrompt(LONG, [broken])?.name).to.equal('broken');
    expect(placePrompt(LONG, [])).to.equal(undefined);
  });
});

describe('placement of plain requests', () => {
  it('goes where the answer comes soonest, near rather than far', () => {
    const near = candidate({ name: 'near', firstEventMs: 45 });
    const far = candidate({ name: 'far', firstEventMs: 43, isNear: false });
    const busy = candidate({ name: 'busy', firstEventMs: 90 });
    expect(placePlain([busy, far, near])?.name).to.equal('near');
    expect(placePlain([busy, far])?.name).to.equal('far');
  });
});
