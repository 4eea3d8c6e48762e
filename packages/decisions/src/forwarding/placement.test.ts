import { expect } from 'chai';
import { placePlain, placePrompt } from './placement.ts';
import type { PlacementCandidate, PromptPlacement } from './placement.ts';

const SHARED = 5_000;

function candidate(overrides: Partial<PlacementCandidate>): PlacementCandidate {
  return {
    incarnation: 'e',
    expectedFirstEventMs: 100,
    tokensAhead: 0,
    uncachedTokens: SHARED,
    isLocal: true,
    failureRate: 0,
    isUnhealthy: false,
    limitCostTokens: 0,
    ...overrides,
  };
}

const LONG: PromptPlacement = {
  affinityKey: 'k',
  weightedTokens: 15_000,
  bodyBytes: 12_000,
  objectiveMs: 800,
};

describe('placement of prompts', () => {
  it('keeps a long prefix where it is cached while it is on time there, even if others are idle', () => {
    const cached = candidate({
      incarnation: 'cached',
      uncachedTokens: 0,
      expectedFirstEventMs: 450,
      tokensAhead: 20_000,
    });
    const idle = candidate({ incarnation: 'idle' });
    expect(placePrompt(LONG, [idle, cached])?.incarnation).to.equal('cached');
  });

  it('moves a hot prefix away from where it is cached if it would be far too late there', () => {
    const cached = candidate({
      incarnation: 'cached',
      uncachedTokens: 0,
      expectedFirstEventMs: 2_500,
      tokensAhead: 60_000,
    });
    const idle = candidate({ incarnation: 'idle' });
    expect(placePrompt(LONG, [cached, idle])?.incarnation).to.equal('idle');
  });

  it('moves a short prefix off a busy endpoint', () => {
    const short = { ...LONG, weightedTokens: 3_800, bodyBytes: 800, objectiveMs: 400 };
    const cached = candidate({
      incarnation: 'cached',
      uncachedTokens: 0,
      tokensAhead: 12_000,
      expectedFirstEventMs: 250,
    });
    const idle = candidate({ incarnation: 'idle', uncachedTokens: 200 });
    expect(placePrompt(short, [cached, idle])?.incarnation).to.equal('idle');
  });

  it('sends a new prefix to the same endpoint of a data centre from every router', () => {
    const names = ['a', 'b', 'c', 'd'];
    const endpoints = names.map((incarnation) => candidate({ incarnation }));
    const selected = new Set(
      [endpoints, [...endpoints].reverse()].map(
        (candidates) => placePrompt(LONG, candidates)?.incarnation,
      ),
    );
    expect(selected.size).to.equal(1);
  });

  it('prefers a local endpoint if all else is equal', () => {
    const far = candidate({ incarnation: 'far', isLocal: false, uncachedTokens: 0 });
    const near = candidate({ incarnation: 'near', uncachedTokens: 0 });
    expect(placePrompt(LONG, [far, near])?.incarnation).to.equal('near');
  });

  it('avoids failing and unhealthy endpoints, and uses them only if there is no other', () => {
    const unhealthy = candidate({ incarnation: 'unhealthy', uncachedTokens: 0, isUnhealthy: true });
    const failing = candidate({ incarnation: 'failing', uncachedTokens: 0, failureRate: 0.5 });
    const healthy = candidate({ incarnation: 'healthy' });
    expect(placePrompt(LONG, [unhealthy, failing, healthy])?.incarnation).to.equal('healthy');
    expect(placePrompt(LONG, [unhealthy])?.incarnation).to.equal('unhealthy');
    expect(placePrompt(LONG, [])).to.equal(undefined);
  });
});

describe('placement of plain requests', () => {
  it('selects the endpoint that answers first, and prefers a local one', () => {
    const near = candidate({ incarnation: 'near', expectedFirstEventMs: 45 });
    const far = candidate({ incarnation: 'far', expectedFirstEventMs: 43, isLocal: false });
    const busy = candidate({ incarnation: 'busy', expectedFirstEventMs: 90 });
    expect(placePlain([busy, far, near])?.incarnation).to.equal('near');
    expect(placePlain([busy, far])?.incarnation).to.equal('far');
  });
});

describe('placement where streams would pause for too long', () => {
  it('takes an endpoint that has to prefill more, and returns when there is no such risk', () => {
    const request = { affinityKey: 'k', weightedTokens: 10_000, bodyBytes: 0, objectiveMs: 800 };
    const common = {
      expectedFirstEventMs: 100,
      tokensAhead: 0,
      isLocal: true,
      failureRate: 0,
      isUnhealthy: false,
      limitCostTokens: 0,
    };
    const slow = { ...common, incarnation: 'slow', uncachedTokens: 0, pausedTokens: 30_000 };
    const fast = { ...common, incarnation: 'fast', uncachedTokens: 4_000, pausedTokens: 0 };
    expect(placePrompt(request, [slow, fast])).to.equal(fast);
    expect(placePrompt(request, [{ ...slow, pausedTokens: 0 }, fast])?.incarnation).to.equal(
      'slow',
    );
  });
});
