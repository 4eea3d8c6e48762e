import { expect } from 'chai';
import { mayLeaveRotation } from './rotation.ts';

describe('an overloaded router', () => {
  it('leaves the rotation while more than half of the routers are ready without it', () => {
    expect(mayLeaveRotation({ routers: 6, readyPeers: 4 })).to.equal(true);
    expect(mayLeaveRotation({ routers: 6, readyPeers: 3 })).to.equal(false);
    expect(mayLeaveRotation({ routers: 6, readyPeers: 1 })).to.equal(false);
  });

  it('leaves it if no other router is ready, so that callers go to other data centres', () => {
    expect(mayLeaveRotation({ routers: 6, readyPeers: 0 })).to.equal(true);
  });

  it('leaves it in a data centre of two', () => {
    expect(mayLeaveRotation({ routers: 2, readyPeers: 1 })).to.equal(true);
  });
});
