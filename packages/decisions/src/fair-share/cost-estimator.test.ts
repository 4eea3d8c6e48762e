import { expect } from 'chai';
import { CostEstimator } from './cost-estimator.ts';

describe('CostEstimator', () => {
  it('takes the hint as long as nothing is known', () => {
    expect(new CostEstimator().expect('a', 40)).to.equal(40);
  });

  it('learns by how much the hints of a workspace are too high', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) {
      estimator.learn('a', 25, 100);
      estimator.learn('b', 80, 100);
    }
    expect(estimator.expect('a', 100)).to.be.closeTo(25, 5);
    expect(estimator.expect('b', 100)).to.be.closeTo(80, 5);
  });

  it('expects the mean cost of a workspace of a request without a hint', () => {
    const estimator = new CostEstimator();
    for (let index = 0; index < 100; index += 1) estimator.learn('a', 30);
    expect(estimator.expect('a')).to.be.closeTo(30, 2);
  });
});
