import { expect } from 'chai';
import { isPeerWaitOver, FIRST_PEER_TIMEOUT_MS, REMAINING_PEERS_TIMEOUT_MS } from './peer-wait.ts';

describe('isPeerWaitOver', () => {
  const progress = {
    elapsedMs: 0,
    isHostListLoaded: true,
    expectedPeers: 6,
    respondedPeers: 0,
    isFetching: false,
  };

  it('waits for all peers, up to a timeout that is shorter once some have responded', () => {
    expect(isPeerWaitOver(progress)).to.equal(false);
    expect(isPeerWaitOver({ ...progress, respondedPeers: 6 })).to.equal(true);
    expect(isPeerWaitOver({ ...progress, respondedPeers: 1 })).to.equal(false);
    expect(
      isPeerWaitOver({ ...progress, respondedPeers: 1, elapsedMs: REMAINING_PEERS_TIMEOUT_MS }),
    ).to.equal(true);
    expect(isPeerWaitOver({ ...progress, elapsedMs: REMAINING_PEERS_TIMEOUT_MS })).to.equal(false);
    expect(isPeerWaitOver({ ...progress, elapsedMs: FIRST_PEER_TIMEOUT_MS })).to.equal(true);
  });

  it('does not wait without peers once the host list is loaded', () => {
    expect(isPeerWaitOver({ ...progress, expectedPeers: 0 })).to.equal(true);
    expect(isPeerWaitOver({ ...progress, expectedPeers: 0, isHostListLoaded: false })).to.equal(
      false,
    );
  });

  it('waits for a document that is being fetched', () => {
    expect(isPeerWaitOver({ ...progress, respondedPeers: 6, isFetching: true })).to.equal(false);
  });
});
