import { expect } from 'chai';
import { RotationReplay } from './rotation-replay.ts';

const SEEDS = [1, 2, 3, 4];

describe('a crowd at one data centre', () => {
  it('is served at least half as often as the callers of other data centres while these have room', () => {
    for (const seed of SEEDS) {
      const { crowd, others } = new RotationReplay({ seed }).run();
      expect(crowd, `seed ${seed}, others ${others.toFixed(2)}`).to.be.at.least(others / 2);
    }
  });
});
