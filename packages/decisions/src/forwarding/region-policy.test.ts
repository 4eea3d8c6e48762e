import { expect } from 'chai';
import { isRegionAllowed } from './region-policy.ts';

describe('the regions that may see a request', () => {
  it('are all if neither the route nor the workspace names some', () => {
    expect(isRegionAllowed('north', [undefined, undefined])).to.equal(true);
    expect(isRegionAllowed(undefined, [undefined, undefined])).to.equal(true);
  });

  it('are those that both name', () => {
    expect(isRegionAllowed('north', [['north', 'south'], ['north']])).to.equal(true);
    expect(isRegionAllowed('south', [['north', 'south'], ['north']])).to.equal(false);
  });

  it('do not include an unknown one', () => {
    expect(isRegionAllowed(undefined, [['north']])).to.equal(false);
  });

  it('are none if a list is empty', () => {
    expect(isRegionAllowed('north', [[]])).to.equal(false);
  });
});
