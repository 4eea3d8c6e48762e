import { expect } from 'chai';
import { CostEstimator } from './cost-estimator.ts';

describe('CostEstimator', () => {
  it('returns the hint while no request has completed', () => {
    expect(new CostEstimator().estimate('a', 40)).to.equal(40);
  });

  it('corrects the hints of a workspace by its ratio of cost to hint', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) {
      estimator.recordCost('a', 25, 100);
      estimator.recordCost('b', 80, 100);
    }
    expect(estimator.estimate('a', 100)).to.be.closeTo(25, 5);
    expect(estimator.estimate('b', 100)).to.be.closeTo(80, 5);
  });

  it('estimates a request without a hint at the mean cost of its workspace', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) estimator.recordCost('a', 30);
    expect(estimator.estimate('a')).to.be.closeTo(30, 2);
  });
});
