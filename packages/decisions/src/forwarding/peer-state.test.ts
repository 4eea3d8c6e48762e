import { expect } from 'chai';
import { selectFresherState, needsPeerState, peerRequestDelayMs } from './peer-state.ts';

const MAX_AGE_MS = 3_500;
const NEVER = Number.POSITIVE_INFINITY;

describe('peer state', () => {
  it('is needed by a router without state, or with state that is about to expire', () => {
    const fresh = { version: 3, routesAgeMs: 2_200, endpointsAgeMs: 2_200 };
    expect(needsPeerState(fresh, MAX_AGE_MS)).to.equal(false);
    expect(needsPeerState({ ...fresh, routesAgeMs: 2_400 }, MAX_AGE_MS)).to.equal(true);
    expect(needsPeerState({ ...fresh, endpointsAgeMs: 2_400 }, MAX_AGE_MS)).to.equal(true);
    const unknown = { version: undefined, routesAgeMs: NEVER, endpointsAgeMs: NEVER };
    expect(needsPeerState(unknown, MAX_AGE_MS)).to.equal(true);
  });

  it('counts as confirmed no later than the time of the request', () => {
    const own = { version: 3, routesAgeMs: 5_000, endpointsAgeMs: 5_000 };
    const peer = { version: 4, routesAgeMs: 200, endpointsAgeMs: 700 };
    const accepted = selectFresherState(own, peer, 10_000, 10_400);
    expect(accepted).to.deep.equal({ routesConfirmedAt: 9_800, endpointsConfirmedAt: 9_300 });
  });

  it('does not confirm the routes if the peer has an older version', () => {
    const own = { version: 5, routesAgeMs: 5_000, endpointsAgeMs: 5_000 };
    const peer = { version: 4, routesAgeMs: 0, endpointsAgeMs: 9_000 };
    const accepted = selectFresherState(own, peer, 10_000, 10_000);
    expect(accepted).to.deep.equal({
      routesConfirmedAt: undefined,
      endpointsConfirmedAt: undefined,
    });
  });

  it('is accepted only as far as it is fresher, if the peer has lost the store too', () => {
    const own = { version: 5, routesAgeMs: 2_000, endpointsAgeMs: 2_000 };
    const peer = { version: 5, routesAgeMs: 2_100, endpointsAgeMs: 1_900 };
    const accepted = selectFresherState(own, peer, 10_000, 10_000);
    expect(accepted).to.deep.equal({ routesConfirmedAt: undefined, endpointsConfirmedAt: 8_100 });
  });

  it('replaces older routes even if the store has confirmed those later', () => {
    const own = { version: 3, routesAgeMs: 0, endpointsAgeMs: 0 };
    const peer = { version: 5, routesAgeMs: 1_200, endpointsAgeMs: 1_200 };
    const accepted = selectFresherState(own, peer, 10_000, 10_000);
    expect(accepted).to.deep.equal({ routesConfirmedAt: 8_800, endpointsConfirmedAt: undefined });
  });

  it('is requested less often while it does not help', () => {
    expect(peerRequestDelayMs(0)).to.equal(300);
    expect(peerRequestDelayMs(2)).to.equal(1_200);
    expect(peerRequestDelayMs(50)).to.equal(2_400);
  });
});
