import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointKind } from '../configuration/fleet-configuration.ts';
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { BudgetCause, computeConfirmationLeaseMs, PowerBudget } from './power-budget.ts';

const SETTLE_MS = 2_000;
const IDLE_WATTS = 100;
const WATTS_PER_SLOT = 50;
const PRESETS = ['maintenance', 'ordinary', 'peak'];
const CAPS = [700, 900, 1_100];
const ENGINES = ['a', 'b', 'c', 'd'];

function createConfiguration(revision: number, preset: number): FleetConfiguration {
  return {
    revision,
    preset: PRESETS[preset] ?? '',
    operator_key_hashes: [],
    data_centres: [{ name: 'ct1', region: 'east' }],
    models: [{ name: 'm' }],
    services: [],
    workspaces: [],
    endpoints: ENGINES.map((name, index) => ({
      name,
      kind: index === 0 ? EndpointKind.Application : EndpointKind.Model,
      data_centre: 'ct1',
      models: [],
      slots: 4,
      idle_watts: IDLE_WATTS,
      watts_per_slot: WATTS_PER_SLOT,
      checks_sender: false,
    })),
    presets: PRESETS.map((name, index) => ({
      name,
      caps: [{ data_centre: 'ct1', watts: CAPS[index] ?? 0 }],
      weights: [],
      engines: [],
    })),
    power: { settle_ms: SETTLE_MS, load_lag_ms: 500 },
    weight_store: { reads_per_second: 1, clock_skew_ms: 250 },
    planned_stops: [],
  };
}

interface PresetSwitch {
  preset: number;
  dwellMs: number;
  /** Delay from publication to arrival at each engine's process. */
  delaysMs: number[];
}

const switches = fc.array(
  fc.record({
    preset: fc.integer({ min: 0, max: 2 }),
    dwellMs: fc.integer({ min: 50, max: 4_000 }),
    delaysMs: fc.array(fc.integer({ min: 0, max: 900 }), { minLength: 4, maxLength: 4 }),
  }),
  { minLength: 1, maxLength: 12 },
);

/** Upper bound of the delays in `PresetSwitch.delaysMs`. */
const ARRIVAL_MS = 900;

interface Publication {
  preset: number;
  from: number;
  until: number;
}

function listPublications(list: readonly PresetSwitch[]): Publication[] {
  const starts: number[] = [];
  let time = 0;
  for (const { dwellMs } of list) {
    starts.push(time);
    time += dwellMs;
  }
  return list.map(({ preset }, index) => ({
    preset,
    from: starts[index] ?? 0,
    until: starts[index + 1] ?? Infinity,
  }));
}

/** Power that all engines may draw at `now`, each under the revisions that have reached its process. */
function computeWatts(budgets: readonly PowerBudget[], now: number): number {
  const slots = budgets.reduce((sum, budget) => sum + budget.evaluate(now).slots, 0);
  return IDLE_WATTS * ENGINES.length + WATTS_PER_SLOT * slots;
}

describe('PowerBudget', () => {
  it('stays within the lowest cap in flight, whenever the revisions arrive', () => {
    fc.assert(
      fc.property(switches, (list) => {
        const publications = listPublications(list);
        const budgets = ENGINES.map((name) => new PowerBudget(name));
        const end = (publications.at(-1)?.from ?? 0) + ARRIVAL_MS + SETTLE_MS + 100;
        const revisions = ENGINES.map(() => 0);
        for (let now = 0; now <= end; now += 25) {
          budgets.forEach((budget, engine) => {
            list.forEach(({ preset, delaysMs }, index) => {
              const arrived = (publications[index]?.from ?? 0) + (delaysMs[engine] ?? 0) <= now;
              if (!arrived || index + 1 <= (revisions[engine] ?? 0)) return;
              budget.applyConfiguration(createConfiguration(index + 1, preset), now);
              revisions[engine] = index + 1;
            });
            budget.confirm(revisions[engine] ?? 0, now);
          });
          const inFlight = publications.filter(
            ({ from, until }) => from + ARRIVAL_MS <= now && now < until + SETTLE_MS,
          );
          const cap = Math.min(Infinity, ...inFlight.map(({ preset }) => CAPS[preset] ?? 0));
          expect(computeWatts(budgets, now)).to.be.at.most(cap);
        }
      }),
      { seed: 4, numRuns: 150 },
    );
  });

  it('leaves no slot idle once the settle time is over', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 6 }),
        (list) => {
          const budgets = ENGINES.map((name) => new PowerBudget(name));
          list.forEach((preset, index) => {
            for (const budget of budgets)
              budget.applyConfiguration(createConfiguration(index + 1, preset), index);
          });
          const settled = list.length + SETTLE_MS;
          for (const budget of budgets) budget.confirm(list.length, settled);
          expect(
            budgets.every((budget) => budget.evaluate(settled).cause === BudgetCause.InForce),
          ).to.equal(true);
          expect(computeWatts(budgets, settled)).to.equal(CAPS[list.at(-1) ?? 0]);
        },
      ),
      { seed: 4 },
    );
  });

  it('uses the floor when its revision is not confirmed in time, and recovers', () => {
    const budget = new PowerBudget('b');
    const configuration = createConfiguration(1, 2);
    budget.applyConfiguration(configuration, 0);
    budget.confirm(1, SETTLE_MS);
    const full = budget.evaluate(SETTLE_MS);
    const late = SETTLE_MS + computeConfirmationLeaseMs(configuration) + 1;
    expect(full.cause).to.equal(BudgetCause.InForce);
    expect(budget.evaluate(late).cause).to.equal(BudgetCause.Unconfirmed);
    expect(budget.evaluate(late).slots).to.be.below(full.slots);
    budget.confirm(1, late);
    expect(budget.evaluate(late)).to.deep.equal(full);
  });

  it('starts at the floor, since earlier revisions may be in flight', () => {
    const budget = new PowerBudget('b');
    budget.applyConfiguration(createConfiguration(7, 2), 0);
    const lowest = new PowerBudget('b');
    lowest.applyConfiguration(createConfiguration(7, 0), 0);
    expect(budget.evaluate(0).slots).to.equal(lowest.evaluate(0).slots);
  });

  it('ignores a confirmation of another revision', () => {
    const budget = new PowerBudget('b');
    budget.applyConfiguration(createConfiguration(2, 2), 0);
    budget.confirm(1, 5_000);
    expect(budget.evaluate(5_000).cause).to.equal(BudgetCause.Unconfirmed);
  });

  it('gives an application engine the same slots under every preset', () => {
    const slots = [0, 1, 2].map((preset) => {
      const budget = new PowerBudget('a');
      budget.applyConfiguration(createConfiguration(1, preset), 0);
      return budget.evaluate(SETTLE_MS).slots;
    });
    expect(new Set(slots).size).to.equal(1);
  });
});
