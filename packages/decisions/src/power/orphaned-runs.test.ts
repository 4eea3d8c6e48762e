import { expect } from 'chai';
import fc from 'fast-check';
import { OrphanedRuns } from './orphaned-runs.ts';

const LAG_MS = 500;

interface Step {
  /** 0 starts a run, 1 ends one, 2 abandons one, 3 ends an orphan, 4 reports, 5 confirms a stop. */
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

/** Model of an endpoint that tracks the exact number of orphaned runs. */
class EndpointModel {
  readonly orphanedRuns = new OrphanedRuns({ startedAt: 0 });
  ownRuns = 0;
  inheritedRuns: number;
  readonly abandoned: string[] = [];
  readonly stopped: string[] = [];
  private now = 0;
  private nextId = 0;
  private readonly totals: { time: number; total: number }[] = [];

  constructor(inheritedRuns: number) {
    this.inheritedRuns = inheritedRuns;
    this.recordState();
  }

  get orphanCount(): number {
    return this.inheritedRuns + this.abandoned.length;
  }

  apply({ action, waitMs, lagMs }: Step): void {
    this.now += waitMs;
    if (action === 0) this.ownRuns += 1;
    if (action === 1 && this.ownRuns > 0) this.ownRuns -= 1;
    if (action === 2 && this.ownRuns > 0) this.abandonRun();
    if (action === 3) this.endOrphan();
    if (action === 4) this.applyReport(lagMs);
    if (action === 5) this.confirmStop();
    this.recordState();
  }

  private abandonRun(): void {
    const id = String(this.nextId++);
    this.ownRuns -= 1;
    this.abandoned.push(id);
    this.orphanedRuns.recordAbandoned(id, this.now);
  }

  private endOrphan(): void {
    if (this.inheritedRuns > 0) this.inheritedRuns -= 1;
    else this.stopped.push(...this.abandoned.splice(0, 1));
  }

  private confirmStop(): void {
    const id = this.stopped.pop();
    if (id !== undefined) this.orphanedRuns.confirmStopped(id);
  }

  private applyReport(lagMs: number): void {
    const at = this.now - lagMs;
    const latest = this.totals.filter(({ time }) => time <= at).at(-1);
    if (latest !== undefined) this.orphanedRuns.applyLoadReport(latest.total, LAG_MS, this.now);
  }

  private recordState(): void {
    this.totals.push({ time: this.now, total: this.ownRuns + this.orphanCount });
    this.orphanedRuns.recordOwnRuns(this.ownRuns, this.now);
  }
}

describe('OrphanedRuns', () => {
  it('never counts fewer runs than are orphaned', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 4 }), steps, (inheritedRuns, list) => {
        const model = new EndpointModel(inheritedRuns);
        for (const step of list) {
          model.apply(step);
          expect(model.orphanedRuns.upperBound).to.be.at.least(model.orphanCount);
        }
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  it('falls to zero once reports show that nothing else runs', () => {
    const orphanedRuns = new OrphanedRuns({ startedAt: 0 });
    orphanedRuns.recordOwnRuns(0, 0);
    orphanedRuns.applyLoadReport(3, LAG_MS, 600);
    expect(orphanedRuns.upperBound).to.equal(3);
    orphanedRuns.applyLoadReport(0, LAG_MS, 900);
    expect(orphanedRuns.upperBound).to.equal(0);
  });

  it('ignores a report that may date from before the start', () => {
    const orphanedRuns = new OrphanedRuns({ startedAt: 1_000 });
    orphanedRuns.applyLoadReport(0, LAG_MS, 1_400);
    expect(orphanedRuns.upperBound).to.equal(Infinity);
  });
});
