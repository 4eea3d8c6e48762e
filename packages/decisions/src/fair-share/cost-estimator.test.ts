import { expect } from 'chai';
import { CostEstimator } from './cost-estimator.ts';

describe('CostEstimator', () => {
  it('takes the hint as long as nothing is known', () => {
    expect(new CostEstimator().estimate('a', 40)).to.equal(40);
  });

  it('learns by how much the hints of a workspace are too high', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) {
      estimator.recordCost('a', 25, 100);
      estimator.recordCost('b', 80, 100);
    }
    expect(estimator.estimate('a', 100)).to.be.closeTo(25, 5);
    expect(estimator.estimate('b', 100)).to.be.closeTo(80, 5);
  });

  it('expects the mean cost of a workspace of a request without a hint', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) estimator.recordCost('a', 30);
    expect(estimator.estimate('a')).to.be.closeTo(30, 2);
  });
});
