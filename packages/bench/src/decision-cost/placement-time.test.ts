import { expect } from 'chai';
import { measurePlacementTimes } from './placement-time.ts';

const FLEET = { endpoints: 36, workspaces: 30 };

describe('decisions about a request', () => {
  it('take no longer in a fleet of seven times as many routers', () => {
    const [small, large] = measurePlacementTimes([
      { ...FLEET, routers: 4 },
      { ...FLEET, routers: 28 },
    ]).map(({ perRequest }) => perRequest);
    const ratio = Number(large) / Number(small);
    expect(ratio, `${large} µs against ${small} µs`).to.be.lessThan(2);
  });
});
