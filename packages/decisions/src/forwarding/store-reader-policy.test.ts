import { expect } from 'chai';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';
import { StoreReaderPolicy } from './store-reader-policy.ts';
import type { NearbyRouter, StoreReaderPolicyOptions } from './store-reader-policy.ts';

const DATA_CENTRE = 'dc';
const RANKED = rankByRendezvous(
  `store ${DATA_CENTRE}`,
  ['a', 'b', 'c', 'd', 'e'].map((name) => `${name}:1`),
);
const [FIRST = '', SECOND = ''] = RANKED;
const FRESH_MS = 300;
const NEVER = Number.POSITIVE_INFINITY;

function createPolicy(
  rank: number,
  options: Partial<StoreReaderPolicyOptions> = {},
): StoreReaderPolicy {
  return new StoreReaderPolicy({
    address: RANKED[rank] ?? '',
    dataCentre: DATA_CENTRE,
    maxStateAgeMs: 3_500,
    ...options,
  });
}

/** The other routers, of which those given read the store. */
function nearby(rank: number, readers: readonly string[] = [FIRST]): NearbyRouter[] {
  return RANKED.filter((_, index) => index !== rank).map((address) => ({
    address,
    readAgeMs: readers.includes(address) ? FRESH_MS : undefined,
  }));
}

describe('store readers', () => {
  it('are the router of the highest rank in each data centre, which the others ask', () => {
    const reader = createPolicy(0);
    expect(reader.decide(nearby(0), FRESH_MS, 0)).to.deep.equal({
      isReader: true,
      source: undefined,
    });
    for (let rank = 1; rank < RANKED.length; rank += 1) {
      const access = createPolicy(rank).decide(nearby(rank), FRESH_MS, 0);
      expect(access).to.deep.equal({ isReader: false, source: FIRST });
    }
  });

  it('are all routers of a data centre with few of them, and a router without peers', () => {
    expect(createPolicy(2).decide(nearby(2).slice(0, 2), FRESH_MS, 0).isReader).to.equal(true);
    expect(createPolicy(2).decide([], FRESH_MS, 0).isReader).to.equal(true);
  });

  it('are all routers where keys must be confirmed more often than a takeover takes', () => {
    const policy = createPolicy(2, { maxStateAgeMs: 2_100 });
    expect(policy.decide(nearby(2), FRESH_MS, 0).isReader).to.equal(true);
  });

  it('wait on the first start until they know their peers, and then leave it to the first', () => {
    const [first, third] = [0, 2].map((rank) => createPolicy(rank, { firstReadAt: 1_500 }));
    expect(first?.decide([], NEVER, 1_000).isReader).to.equal(false);
    expect(first?.decide(nearby(0, []), NEVER, 1_500).isReader).to.equal(true);
    expect(third?.decide(nearby(2, []), NEVER, 2_400).isReader).to.equal(false);
    expect(third?.decide(nearby(2, []), NEVER, 2_500).isReader).to.equal(true);
  });

  it('are all routers that start later and have no state, until they follow', () => {
    const policy = createPolicy(3);
    expect(policy.decide(nearby(3), NEVER, 0).isReader).to.equal(true);
    policy.recordAnswer(FIRST, FRESH_MS, 100);
    expect(policy.decide(nearby(3), FRESH_MS, 200).isReader).to.equal(false);
  });

  it('are replaced by one rank after the other when the state gets old', () => {
    const [second, third] = [createPolicy(1), createPolicy(2)];
    expect(second.decide(nearby(1), 1_850, 0).isReader).to.equal(true);
    expect(third.decide(nearby(2), 1_850, 0).isReader).to.equal(false);
    expect(third.decide(nearby(2), 1_950, 100).isReader).to.equal(true);
  });

  it('follow again once a higher rank has read the store, and not before', () => {
    const policy = createPolicy(1);
    expect(policy.decide(nearby(1, []), NEVER, 0).isReader).to.equal(true);
    policy.recordAnswer(FIRST, 1_800, 100);
    expect(policy.decide(nearby(1, []), FRESH_MS, 200).isReader).to.equal(true);
    policy.recordAnswer(FIRST, 1_200, 300);
    expect(policy.decide(nearby(1), FRESH_MS, 400).isReader).to.equal(false);
  });

  it('are not followed while the store turns them away, nor while they do not answer', () => {
    const policy = createPolicy(3);
    expect(policy.decide(nearby(3, [SECOND]), FRESH_MS, 0).source).to.equal(SECOND);
    expect(policy.decide(nearby(3, []), FRESH_MS, 0).source).to.equal(undefined);
    policy.recordFailure(FIRST, 0);
    expect(policy.decide(nearby(3, [FIRST, SECOND]), FRESH_MS, 100).source).to.equal(SECOND);
    expect(policy.decide(nearby(3, [FIRST, SECOND]), FRESH_MS, 1_600).source).to.equal(FIRST);
  });

  it('read on after a router of a higher rank has started, until it reads the store', () => {
    const policy = createPolicy(1);
    const withoutFirst = nearby(1).filter(({ address }) => address !== FIRST);
    expect(policy.decide(withoutFirst, FRESH_MS, 0).isReader).to.equal(true);
    expect(policy.decide(nearby(1, []), FRESH_MS, 100).isReader).to.equal(true);
    policy.recordAnswer(FIRST, 200, 200);
    expect(policy.decide(nearby(1), FRESH_MS, 300).isReader).to.equal(false);
  });
});
