import { expect } from 'chai';
import { KeyFreshness } from './key-freshness.ts';

const REVOCATION_MS = 5_000;

describe('freshness of keys', () => {
  it('trusts no key before the first proof', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    expect(freshness.isFresh(0)).to.equal(false);
  });

  it('stops trusting well within the bound when a store turns the host away', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(1_000);
    expect(freshness.isFresh(3_000)).to.equal(true);
    expect(freshness.isFresh(1_000 + REVOCATION_MS - 1_000)).to.equal(false);
  });

  it('never lets an older proof take back a newer one', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(4_000);
    freshness.confirm(1_000);
    expect(freshness.ageMs(5_000)).to.equal(1_000);
  });

  it('trusts no key after a suspension, in which the monotonic clock stood still', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.confirm(1_000);
    expect(freshness.detectSuspension(1_000, 50_000)).to.equal(false);
    expect(freshness.detectSuspension(1_100, 56_000)).to.equal(true);
    expect(freshness.isFresh(1_100)).to.equal(false);
    freshness.confirm(1_150);
    expect(freshness.detectSuspension(1_200, 56_100)).to.equal(false);
    expect(freshness.isFresh(1_200)).to.equal(true);
  });

  it('takes a clock that is set back for no suspension', () => {
    const freshness = new KeyFreshness({ revocationMs: REVOCATION_MS });
    freshness.detectSuspension(1_000, 50_000);
    expect(freshness.detectSuspension(1_100, 48_000)).to.equal(false);
  });
});
