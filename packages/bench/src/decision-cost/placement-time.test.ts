import { expect } from 'chai';
import { measurePlacementTime } from './placement-time.ts';

const FLEET = { endpoints: 36, workspaces: 30 };

describe('decisions about a request', () => {
  it('take no longer in a fleet of seven times as many routers', () => {
    const small = measurePlacementTime({ ...FLEET, routers: 4 }).perRequest;
    const large = measurePlacementTime({ ...FLEET, routers: 28 }).perRequest;
    expect(large / small, `${large} µs against ${small} µs`).to.be.lessThan(2);
  });
});
