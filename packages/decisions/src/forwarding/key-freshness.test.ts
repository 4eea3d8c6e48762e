import { expect } from 'chai';
import { KeyFreshness } from './key-freshness.ts';

const REVOCATION_MS = 5_000;

describe('KeyFreshness', () => {
  it('is not fresh before the first confirmation', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    expect(freshness.isFresh(0)).to.equal(false);
  });

  it('expires well within the revocation time when the store refuses the host', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(1_000);
    expect(freshness.isFresh(3_000)).to.equal(true);
    expect(freshness.isFresh(1_000 + REVOCATION_MS - 1_000)).to.equal(false);
  });

  it('ignores a confirmation that is older than the last one', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(4_000);
    freshness.confirm(1_000);
    expect(freshness.ageMs(5_000)).to.equal(1_000);
  });

  it('is not fresh after a suspension, during which the monotonic clock stood still', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(1_000);
    expect(freshness.detectSuspension(1_000, 50_000)).to.equal(false);
    expect(freshness.detectSuspension(1_100, 56_000)).to.equal(true);
    expect(freshness.isFresh(1_100)).to.equal(false);
    freshness.confirm(1_150);
    expect(freshness.detectSuspension(1_200, 56_100)).to.equal(false);
    expect(freshness.isFresh(1_200)).to.equal(true);
  });

  it('does not treat a wall clock that is set back as a suspension', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.detectSuspension(1_000, 50_000);
    expect(freshness.detectSuspension(1_100, 48_000)).to.equal(false);
  });
});
