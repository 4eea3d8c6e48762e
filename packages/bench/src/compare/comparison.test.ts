import { expect } from 'chai';
import { compareMeasures } from './comparison.ts';

describe('compareMeasures', () => {
  it('distinguishes a change from scatter', () => {
    const before = {
      fast: { median: 10, least: 9, most: 11 },
      noisy: { median: 10, least: 5, most: 20 },
      gone: { median: 1, least: 1, most: 1 },
      none: { median: 0, least: 0, most: 0 },
    };
    const after = {
      fast: { median: 5, least: 4, most: 6 },
      noisy: { median: 12, least: 6, most: 18 },
      none: { median: 3, least: 3, most: 3 },
    };
    const compared = compareMeasures(before, after);
    expect(
      compared.map(({ measure, change, differs }) => ({ measure, change, differs })),
    ).to.deep.equal([
      { measure: 'fast', change: -0.5, differs: true },
      { measure: 'noisy', change: 0.2, differs: false },
      { measure: 'none', change: null, differs: true },
    ]);
  });
});
