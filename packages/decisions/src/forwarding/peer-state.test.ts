import { expect } from 'chai';
import { selectFresherState, needsPeerState, peerRequestDelayMs } from './peer-state.ts';

const TRUSTED_MS = 3_500;
const NEVER = Number.POSITIVE_INFINITY;

describe('knowledge of the store at second hand', () => {
  it('is asked for by a router that knows nothing, or whose proofs are old', () => {
    const fresh = { version: 3, routesAgeMs: 2_200, endpointsAgeMs: 2_200 };
    expect(needsPeerState(fresh, TRUSTED_MS)).to.equal(false);
    expect(needsPeerState({ ...fresh, routesAgeMs: 2_400 }, TRUSTED_MS)).to.equal(true);
    expect(needsPeerState({ ...fresh, endpointsAgeMs: 2_400 }, TRUSTED_MS)).to.equal(true);
    const nothing = { version: undefined, routesAgeMs: NEVER, endpointsAgeMs: NEVER };
    expect(needsPeerState(nothing, TRUSTED_MS)).to.equal(true);
  });

  it('proves no more than was true when the peer was asked', () => {
    const own = { version: 3, routesAgeMs: 5_000, endpointsAgeMs: 5_000 };
    const told = { version: 4, routesAgeMs: 200, endpointsAgeMs: 700 };
    const taken = selectFresherState(own, told, 10_000, 10_400);
    expect(taken).to.deep.equal({ routesConfirmedAt: 9_800, endpointsConfirmedAt: 9_300 });
  });

  it('of a peer that knows an older version proves nothing of the routes', () => {
    const own = { version: 5, routesAgeMs: 5_000, endpointsAgeMs: 5_000 };
    const told = { version: 4, routesAgeMs: 0, endpointsAgeMs: 9_000 };
    const taken = selectFresherState(own, told, 10_000, 10_000);
    expect(taken).to.deep.equal({ routesConfirmedAt: undefined, endpointsConfirmedAt: undefined });
  });

  it('of a peer that has lost the store too brings nothing that is older than the own', () => {
    const own = { version: 5, routesAgeMs: 2_000, endpointsAgeMs: 2_000 };
    const told = { version: 5, routesAgeMs: 2_100, endpointsAgeMs: 1_900 };
    const taken = selectFresherState(own, told, 10_000, 10_000);
    expect(taken).to.deep.equal({ routesConfirmedAt: undefined, endpointsConfirmedAt: 8_100 });
  });

  it('is asked for more seldom while it does not help', () => {
    expect(peerRequestDelayMs(0)).to.equal(300);
    expect(peerRequestDelayMs(2)).to.equal(1_200);
    expect(peerRequestDelayMs(50)).to.equal(2_400);
  });
});
