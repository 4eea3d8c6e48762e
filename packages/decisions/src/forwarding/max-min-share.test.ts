import { expect } from 'chai';
import { SlidingTokenWindow, findFairLevels, findMaxMinLevel } from './max-min-share.ts';

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
    const levels = findFairLevels(
      { demanded, withinShare, overShare: new Map() },
      { nominalTokens: 350 },
    );
    expect(1_500 / levels.nominal).to.be.greaterThan(1);
    expect(1_500 / levels.inUse).to.be.greaterThan(1.15);
    expect(350 / levels.inUse).to.be.lessThan(1);
  });

  it('follow the grants where requests within their share are refused, whatever is configured', () => {
    const demanded = new Map([
      ['flood', 3_000],
      ['small', 600],
    ]);
    const withinShare = new Map([
      ['flood', 1_400],
      ['small', 200],
    ]);
    const usage = { demanded, withinShare, overShare: new Map<string, number>() };
    const calm = findFairLevels(usage, { nominalTokens: 5_000 });
    expect([calm.nominal, calm.inUse]).to.deep.equal([Infinity, Infinity]);
    const contended = findFairLevels(usage, { nominalTokens: 5_000, contention: 1 });
    expect(contended.nominal).to.equal(contended.inUse);
    expect(1_400 / contended.nominal).to.be.greaterThan(1);
    expect(200 / contended.nominal).to.be.lessThan(0.2);
    const part = findFairLevels(usage, { nominalTokens: 5_000, contention: 0.5 }).nominal;
    expect(part).to.be.greaterThan(contended.nominal);
  });

  it('rise above the grants as far as endpoints have nothing to do', () => {
    const demanded = new Map([
      ['flood', 900],
      ['small', 100],
    ]);
    const withinShare = new Map([
      ['flood', 300],
      ['small', 100],
    ]);
    const usage = { demanded, withinShare, overShare: new Map<string, number>() };
    const contended = { nominalTokens: 5_000, contention: 1 };
    expect(findFairLevels(usage, contended).nominal).to.be.closeTo(340, 1);
    const halfUsed = findFairLevels(usage, { ...contended, usedFraction: 0.5 });
    expect(halfUsed.nominal).to.equal(700);
    const hardlyUsed = findFairLevels(usage, { ...contended, usedFraction: 0.1 });
    expect([hardlyUsed.nominal, hardlyUsed.inUse]).to.deep.equal([Infinity, Infinity]);
    const beyondNominal = findFairLevels(usage, { nominalTokens: 200, usedFraction: 0.5 });
    expect(beyondNominal).to.deep.equal({ nominal: 100, inUse: 700 });
  });

  it('reports no surplus usage if all demand is granted', () => {
    const all = new Map([['a', 900]]);
    const usage = { demanded: all, withinShare: all, overShare: new Map<string, number>() };
    expect(900 / findFairLevels(usage, { nominalTokens: 350 }).inUse).to.equal(0);
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
