import { expect } from 'chai';
import fc from 'fast-check';
import { SharedRetryBudget } from './shared-retry-budget.ts';

const OPTIONS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Largest number of retries in any window if every request fails at every router. */
function maxRetriesInWindow(routers: number, requestsPerS: number, seconds: number): number {
  const budgets = Array.from({ length: routers }, () => new SharedRetryBudget(OPTIONS));
  const acquired: number[] = [];
  for (let now = 0; now < seconds * 1_000; now += 1_000 / requestsPerS) {
    const budget = budgets[Math.floor(now * 7) % routers];
    budget?.recordRequest(routers, now);
    while (budget?.tryAcquire(routers, now) === true) acquired.push(now);
  }
  return Math.max(
    ...acquired.map((start) => acquired.filter((at) => at >= start && at < start + 10_000).length),
  );
}

const WINDOW_MS = 10_000;
const STEP_MS = 100;
const STEPS = 400;

/** A fleet whose callers, crowds, failures and restarts vary. */
interface Fleet {
  routers: number;
  requestsPerS: number;
  slack: number;
  /** Part of the routers that serves nearly all requests. */
  crowdedPart: number;
  /** Lengths of the phases in which there are requests, and none, and in which requests are repeated, and not. */
  busySteps: number;
  idleSteps: number;
  failingSteps: number;
  soundSteps: number;
  /** Steps after which each router has been replaced by a new process once. */
  turnoverSteps: number;
  /** Steps by which a router's number of the others is late. */
  viewLagSteps: number;
  /** Part of the routers that live in every second period of a window's length. */
  livingPart: number;
}

const FLEETS = fc.record<Fleet>({
  routers: fc.constantFrom(6, 28, 68, 300),
  requestsPerS: fc.constantFrom(1, 20, 400, 1_400),
  slack: fc.constantFrom(20, 56, 176),
  crowdedPart: fc.constantFrom(0.02, 0.3, 1),
  busySteps: fc.integer({ min: 1, max: 120 }),
  idleSteps: fc.integer({ min: 0, max: 120 }),
  failingSteps: fc.integer({ min: 1, max: 60 }),
  soundSteps: fc.integer({ min: 0, max: 120 }),
  turnoverSteps: fc.integer({ min: 100, max: 1_000 }),
  viewLagSteps: fc.integer({ min: 0, max: 10 }),
  livingPart: fc.constantFrom(0.3, 0.9, 1),
});

/** Requests and retries of a whole fleet in each step. */
function playFleet(fleet: Fleet): { requests: number[]; retries: number[] } {
  const options = { ratio: 0.2, slack: fleet.slack, windowMs: WINDOW_MS };
  const budgets = new Map<number, SharedRetryBudget>();
  const living: number[] = [];
  const requests: number[] = [];
  const retries: number[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const now = step * STEP_MS;
    const isLow = Math.floor(now / WINDOW_MS) % 2 === 1;
    const count = Math.max(1, Math.floor(fleet.routers * (isLow ? fleet.livingPart : 1)));
    living.push(count);
    for (let router = 0; router < fleet.routers; router += 1) {
      const turn = Math.floor((router * fleet.turnoverSteps) / fleet.routers);
      const isReplaced = step % fleet.turnoverSteps === turn;
      if (isReplaced || router >= count) budgets.delete(router);
    }
    const known = living[Math.max(0, step - fleet.viewLagSteps)] ?? count;
    const isBusy = step % (fleet.busySteps + fleet.idleSteps) < fleet.busySteps;
    const isFailing = step % (fleet.failingSteps + fleet.soundSteps) < fleet.failingSteps;
    const crowded = Math.max(1, Math.floor(count * fleet.crowdedPart));
    const perStep = (fleet.requestsPerS * STEP_MS) / 1_000;
    const sent = isBusy ? Math.floor((step + 1) * perStep) - Math.floor(step * perStep) : 0;
    const budgetOf = (router: number): SharedRetryBudget => {
      const budget = budgets.get(router) ?? new SharedRetryBudget(options);
      budgets.set(router, budget);
      return budget;
    };
    for (let index = 0; index < sent; index += 1) {
      const router = index % 20 === 19 ? (index * 7 + step) % count : (index + step) % crowded;
      budgetOf(router).recordRequest(known, now);
    }
    let taken = 0;
    for (let router = 0; isFailing && router < count; router += 1)
      while (budgetOf(router).tryAcquire(known, now)) taken += 1;
    requests.push(sent);
    retries.push(taken);
  }
  return { requests, retries };
}

function sumOf(values: readonly number[], from: number, steps: number): number {
  return values.slice(Math.max(0, from), Math.max(0, from + steps)).reduce((a, b) => a + b, 0);
}

/** Largest part of its bound that the retries of a window reach. */
function worstWindow(fleet: Fleet): number {
  const { requests, retries } = playFleet(fleet);
  const steps = WINDOW_MS / STEP_MS;
  const used = retries.map((_, start) => {
    const counted = [start, start - steps, start - steps / 2].map((from) =>
      sumOf(requests, from, steps),
    );
    return sumOf(retries, start, steps) / (0.2 * Math.max(...counted) + fleet.slack);
  });
  return Math.max(...used);
}

/** Retries that one of many routers gets at once, after requests of its own at a steady rate. */
function retriesAtOnce(routers: number, requestsPerS: number): number {
  const budget = new SharedRetryBudget({ ratio: 0.2, slack: 176, windowMs: WINDOW_MS });
  for (let now = 0; now < WINDOW_MS; now += 1_000 / requestsPerS)
    budget.recordRequest(routers, now);
  let retries = 0;
  while (budget.tryAcquire(routers, WINDOW_MS)) retries += 1;
  return retries;
}

describe('SharedRetryBudget', () => {
  it('stays within ratio x requests + slack in every window, over all routers', () => {
    for (const routers of [1, 2, 6, 28]) {
      for (const requestsPerS of [1, 20, 100]) {
        const bound = OPTIONS.ratio * requestsPerS * 10 + OPTIONS.slack;
        expect(maxRetriesInWindow(routers, requestsPerS, 40)).to.be.at.most(bound);
      }
    }
  });

  it('allows retries at low load', () => {
    const budget = new SharedRetryBudget(OPTIONS);
    budget.recordRequest(6, 0);
    expect(budget.tryAcquire(6, 10)).to.equal(true);
  });

  it('stays within the budget whoever serves the requests, fails, joins or restarts', () => {
    fc.assert(
      fc.property(FLEETS, (fleet) => {
        expect(worstWindow(fleet)).to.be.at.most(1);
      }),
      { numRuns: 60, seed: 66 },
    );
  }).timeout(60_000);

  it('repeats the requests of a crashed endpoint, however many routers there are', () => {
    for (const routers of [68, 300]) expect(retriesAtOnce(routers, 20)).to.be.at.least(5);
  });

  it('repeats a request at a router with few requests of its own among 68', () => {
    expect(retriesAtOnce(68, 1)).to.be.at.least(1);
  });
});
