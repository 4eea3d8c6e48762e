import { expect } from 'chai';
import fc from 'fast-check';
import { OrphanedRuns } from './orphaned-runs.ts';

const LAG_MS = 500;

interface Step {
  /** 0 start a run, 1 end one, 2 give one up, 3 end a leftover, 4 report, 5 confirm a stop. */
  action: number;
  waitMs: number;
  lagMs: number;
}

const steps = fc.array(
  fc.record({
    action: fc.integer({ min: 0, max: 5 }),
    waitMs: fc.integer({ min: 0, max: 300 }),
    lagMs: fc.integer({ min: 0, max: LAG_MS }),
  }),
  { maxLength: 60 },
);

/** What runs at an endpoint, as an observer with full knowledge sees it. */
class EndpointModel {
  readonly leftovers = new OrphanedRuns({ startedAt: 0 });
  own = 0;
  earlier: number;
  readonly abandoned: string[] = [];
  readonly stopped: string[] = [];
  private now = 0;
  private given = 0;
  private readonly totals: { time: number; total: number }[] = [];

  constructor(earlier: number) {
    this.earlier = earlier;
    this.note();
  }

  get leftover(): number {
    return this.earlier + this.abandoned.length;
  }

  apply({ action, waitMs, lagMs }: Step): void {
    this.now += waitMs;
    if (action === 0) this.own += 1;
    if (action === 1 && this.own > 0) this.own -= 1;
    if (action === 2 && this.own > 0) this.giveUp();
    if (action === 3) this.endLeftover();
    if (action === 4) this.report(lagMs);
    if (action === 5) this.confirm();
    this.note();
  }

  private giveUp(): void {
    const id = String(this.given++);
    this.own -= 1;
    this.abandoned.push(id);
    this.leftovers.recordAbandoned(id, this.now);
  }

  private endLeftover(): void {
    if (this.earlier > 0) this.earlier -= 1;
    else this.stopped.push(...this.abandoned.splice(0, 1));
  }

  private confirm(): void {
    const id = this.stopped.pop();
    if (id !== undefined) this.leftovers.confirmStopped(id);
  }

  private report(lagMs: number): void {
    const at = this.now - lagMs;
    const seen = this.totals.filter(({ time }) => time <= at).at(-1);
    if (seen !== undefined) this.leftovers.applyLoadReport(seen.total, LAG_MS, this.now);
  }

  private note(): void {
    this.totals.push({ time: this.now, total: this.own + this.leftover });
    this.leftovers.recordOwnRuns(this.own, this.now);
  }
}

describe('OrphanedRuns', () => {
  it('never counts fewer runs than are left over', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 4 }), steps, (earlier, list) => {
        const model = new EndpointModel(earlier);
        for (const step of list) {
          model.apply(step);
          expect(model.leftovers.upperBound).to.be.at.least(model.leftover);
        }
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  it('comes down to none once reports show that nothing else runs', () => {
    const leftovers = new OrphanedRuns({ startedAt: 0 });
    leftovers.recordOwnRuns(0, 0);
    leftovers.applyLoadReport(3, LAG_MS, 600);
    expect(leftovers.upperBound).to.equal(3);
    leftovers.applyLoadReport(0, LAG_MS, 900);
    expect(leftovers.upperBound).to.equal(0);
  });

  it('trusts no report that may date from before the start', () => {
    const leftovers = new OrphanedRuns({ startedAt: 1_000 });
    leftovers.applyLoadReport(0, LAG_MS, 1_400);
    expect(leftovers.upperBound).to.equal(Infinity);
  });
});
