import { expect } from 'chai';
import { ByteBudget } from './byte-budget.ts';

describe('a budget of bytes', () => {
  it("lets a second's worth be sent at once, and no more than the rate afterwards", () => {
    const budget = new ByteBudget({ bytesPerSecond: 1_000, now: 0 });
    budget.spend(1_500, 0);
    expect(budget.hasLeft(500)).to.equal(false);
    expect(budget.hasLeft(501)).to.equal(true);
    budget.spend(1, 501);
    expect(budget.hasLeft(501)).to.equal(false);
  });

  it('saves up no more than a second', () => {
    const budget = new ByteBudget({ bytesPerSecond: 1_000, now: 0 });
    budget.spend(1_000, 60_000);
    expect(budget.hasLeft(60_000)).to.equal(false);
  });
});
