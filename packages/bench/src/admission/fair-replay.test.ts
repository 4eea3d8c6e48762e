import { expect } from 'chai';
import { replayFairness } from './fair-replay.ts';

/** The rule: a workspace that waits gets at least this much of its due. */
const MIN_RATIO = 0.5;

const LONG_KIND = 'review';

const FLEET = {
  seconds: 12,
  load: 6,
  configuredEngines: 24,
  tokensPerEngine: 60_000,
  routers: 8,
  deadlineSpread: 0.2,
};

/** Every third workspace sends no request of the kind with the longest objective. */
function sendsMixed(workspace: number, { name }: { name: string }): boolean {
  return workspace % 3 !== 1 || name !== LONG_KIND;
}

describe('shares of waiting workspaces in the replay', () => {
  for (const seed of [1, 2]) {
    it(`hold for those with short objectives while half of the engines are gone, seed ${seed}`, () => {
      const { leastServed } = replayFairness({ ...FLEET, seed, engines: 12, sends: sendsMixed });
      expect(leastServed?.ratio ?? 1, JSON.stringify(leastServed)).to.be.at.least(MIN_RATIO);
    });
  }

  it('hold while half of the engines are gone', () => {
    const { leastServed } = replayFairness({ ...FLEET, seed: 2, engines: 12 });
    expect(leastServed?.ratio ?? 1, JSON.stringify(leastServed)).to.be.at.least(MIN_RATIO);
  });
});
