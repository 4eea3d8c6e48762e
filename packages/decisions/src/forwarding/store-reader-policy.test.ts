import { expect } from 'chai';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';
import { StoreReaderPolicy } from './store-reader-policy.ts';

const DATA_CENTRE = 'dc';
const RANKED = rankByRendezvous(
  `store ${DATA_CENTRE}`,
  ['a', 'b', 'c', 'd', 'e'].map((name) => `${name}:1`),
);
const FRESH_MS = 300;
const NEVER = Number.POSITIVE_INFINITY;

function createPolicy(rank: number, readsFrom = 0, maxStateAgeMs = 3_500): StoreReaderPolicy {
  return new StoreReaderPolicy({
    address: RANKED[rank] ?? '',
    dataCentre: DATA_CENTRE,
    maxStateAgeMs,
    readsFrom,
  });
}

function nearby(rank: number): string[] {
  return RANKED.filter((_, index) => index !== rank);
}

describe('store readers', () => {
  it('are the router of the highest rank in each data centre, which the others ask', () => {
    const reader = createPolicy(0);
    expect(reader.decide(nearby(0), FRESH_MS, 0)).to.deep.equal({
      isReader: true,
      source: undefined,
    });
    for (let rank = 1; rank < RANKED.length; rank += 1) {
      const follower = createPolicy(rank);
      const access = follower.decide(nearby(rank), FRESH_MS, 0);
      expect(access).to.deep.equal({ isReader: false, source: RANKED[0] });
    }
  });

  it('are all routers of a data centre with few of them, and a router without peers', () => {
    expect(createPolicy(2).decide(RANKED.slice(0, 2), FRESH_MS, 0).isReader).to.equal(true);
    expect(createPolicy(2).decide([], FRESH_MS, 0).isReader).to.equal(true);
  });

  it('are all routers where keys must be confirmed more often than a takeover takes', () => {
    expect(createPolicy(2, 0, 2_100).decide(nearby(2), FRESH_MS, 0).isReader).to.equal(true);
  });

  it('wait on the first start until they know their peers', () => {
    const policy = createPolicy(3, 1_500);
    expect(policy.decide([], NEVER, 1_000).isReader).to.equal(false);
    expect(policy.decide([], NEVER, 1_500).isReader).to.equal(true);
  });

  it('are replaced by one rank after the other when the state gets old', () => {
    const [second, third] = [createPolicy(1), createPolicy(2)];
    expect(second.decide(nearby(1), 1_850, 0).isReader).to.equal(true);
    expect(third.decide(nearby(2), 1_850, 0).isReader).to.equal(false);
    expect(third.decide(nearby(2), 1_950, 100).isReader).to.equal(true);
  });

  it('follow again once a higher rank has fresh state, and not before', () => {
    const policy = createPolicy(1);
    const [first = ''] = RANKED;
    expect(policy.decide(nearby(1), NEVER, 0).isReader).to.equal(true);
    policy.recordAnswer(first, 1_600, 100);
    expect(policy.decide(nearby(1), FRESH_MS, 200).isReader).to.equal(true);
    policy.recordAnswer(first, 1_200, 300);
    expect(policy.decide(nearby(1), FRESH_MS, 400).isReader).to.equal(false);
  });

  it('ask the next rank while the first does not answer', () => {
    const policy = createPolicy(3);
    const [first = '', second = ''] = RANKED;
    policy.recordFailure(first, 0);
    expect(policy.decide(nearby(3), FRESH_MS, 100).source).to.equal(second);
    expect(policy.decide(nearby(3), FRESH_MS, 1_600).source).to.equal(first);
  });

  it('read on after a router of a higher rank has started, until it helps', () => {
    const policy = createPolicy(1);
    const withoutFirst = nearby(1).filter((address) => address !== RANKED[0]);
    expect(policy.decide(withoutFirst, FRESH_MS, 0).isReader).to.equal(true);
    expect(policy.decide(nearby(1), FRESH_MS, 100).isReader).to.equal(true);
    policy.recordAnswer(RANKED[0] ?? '', 200, 200);
    expect(policy.decide(nearby(1), FRESH_MS, 300).isReader).to.equal(false);
  });
});
