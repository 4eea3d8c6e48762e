import { expect } from 'chai';
import fc from 'fast-check';
import { fitLine, computeSpread } from './statistics.ts';

describe('fitLine', () => {
  it('recovers an exact line with zero standard error', () => {
    fc.assert(
      fc.property(fc.integer({ min: -50, max: 50 }), fc.integer({ min: -50, max: 50 }), (a, b) => {
        const fit = fitLine([1, 2, 4, 8].map((x) => ({ x, y: a * x + b })));
        expect(fit.slope).to.be.closeTo(a, 1e-9);
        expect(fit.intercept).to.be.closeTo(b, 1e-9);
        expect(fit.slopeError).to.be.closeTo(0, 1e-9);
      }),
      { seed: 7 },
    );
  });

  it('computes the standard error of the slope', () => {
    const fit = fitLine([
      { x: 0, y: 0 },
      { x: 1, y: 2 },
      { x: 2, y: 1 },
    ]);
    expect(fit.slope).to.be.closeTo(0.5, 1e-9);
    expect(fit.slopeError).to.be.closeTo(Math.sqrt(1.5 / 2), 1e-9);
  });

  it('throws on too few points and on equal sizes', () => {
    expect(() => fitLine([{ x: 1, y: 1 }])).to.throw('three points');
    expect(() => fitLine([1, 2, 3].map((y) => ({ x: 1, y })))).to.throw('different sizes');
  });
});

describe('computeSpread', () => {
  it('computes the median of an even and an odd number of runs', () => {
    expect(computeSpread([3, 1, 2])).to.deep.equal({ median: 2, least: 1, most: 3 });
    expect(computeSpread([4, 1])).to.deep.equal({ median: 2.5, least: 1, most: 4 });
  });
});
