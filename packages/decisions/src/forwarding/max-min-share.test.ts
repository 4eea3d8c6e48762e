import { expect } from 'chai';
import { SlidingTokenWindow, findMaxMinLevel, measureShareUsage } from './max-min-share.ts';

describe('max-min fair shares', () => {
  it('has an infinite level if all demands fit', () => {
    expect(findMaxMinLevel([10, 20, 30], 60)).to.equal(Number.POSITIVE_INFINITY);
  });

  it('satisfies small demands in full and divides the rest evenly', () => {
    expect(findMaxMinLevel([10, 100, 500], 110)).to.equal(50);
    expect(findMaxMinLevel([500, 500], 100)).to.equal(50);
  });

  it('leaves the demands of the others unaffected when one workspace floods', () => {
    const others = Array.from({ length: 15 }, () => 20);
    const level = findMaxMinLevel([...others, 10_000], 400);
    expect(level).to.equal(100);
  });

  it('divides the surplus evenly between workspaces that demand more than their share', () => {
    const demanded = new Map([
      ['near', 1_600],
      ['far', 1_000],
    ]);
    const withinShare = new Map([
      ['near', 1_500],
      ['far', 350],
    ]);
    const usage = { demanded, withinShare, overShare: new Map(), nominalTokens: 350 };
    const near = measureShareUsage('near', usage);
    const far = measureShareUsage('far', usage);
    expect(near.shareUsed).to.be.greaterThan(1);
    expect(near.surplusUsed).to.be.greaterThan(1.15);
    expect(far.surplusUsed).to.be.lessThan(1);
  });

  it('reports no surplus usage if all demand is granted', () => {
    const all = new Map([['a', 900]]);
    const usage = { demanded: all, withinShare: all, overShare: new Map(), nominalTokens: 350 };
    expect(measureShareUsage('a', usage).surplusUsed).to.equal(0);
  });

  it('drops counts that are older than the window', () => {
    const window = new SlidingTokenWindow(4_000);
    window.add('a', 100, 0);
    window.add('b', 50, 3_000);
    expect(window.totals(3_500).get('a')).to.equal(100);
    expect(window.totals(4_600).get('a')).to.equal(undefined);
    expect(window.totals(4_600).get('b')).to.equal(50);
  });
});
