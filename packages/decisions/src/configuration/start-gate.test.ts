import { expect } from 'chai';
import { isStartComplete, NO_PEERS_WAIT_MS, SOME_PEERS_WAIT_MS } from './start-gate.ts';

describe('isStartComplete', () => {
  const progress = { elapsedMs: 0, hostsKnown: true, expected: 6, heard: 0, isFetching: false };

  it('waits for all peers, for some of them a while, and for none not for ever', () => {
    expect(isStartComplete(progress)).to.equal(false);
    expect(isStartComplete({ ...progress, heard: 6 })).to.equal(true);
    expect(isStartComplete({ ...progress, heard: 1 })).to.equal(false);
    expect(isStartComplete({ ...progress, heard: 1, elapsedMs: SOME_PEERS_WAIT_MS })).to.equal(
      true,
    );
    expect(isStartComplete({ ...progress, elapsedMs: SOME_PEERS_WAIT_MS })).to.equal(false);
    expect(isStartComplete({ ...progress, elapsedMs: NO_PEERS_WAIT_MS })).to.equal(true);
  });

  it('does not wait where there are no peers, once the host list says so', () => {
    expect(isStartComplete({ ...progress, expected: 0 })).to.equal(true);
    expect(isStartComplete({ ...progress, expected: 0, hostsKnown: false })).to.equal(false);
  });

  it('waits for a document that is on its way', () => {
    expect(isStartComplete({ ...progress, heard: 6, isFetching: true })).to.equal(false);
  });
});
