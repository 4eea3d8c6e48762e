import { expect } from 'chai';
import fc from 'fast-check';
import { CallKind } from '../forwarding/routing-table.ts';
import type { Route } from '../forwarding/routing-table.ts';
import { HedgeBudget } from './hedge-budget.ts';
import { allowsHedging, hedgeDelayMs, isHedgeWorthwhile } from './hedge-policy.ts';
import type { HedgeCandidate } from './hedge-policy.ts';

const OBJECTIVE_MS = 800;

function route(overrides: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind: CallKind.Idempotent,
    timeoutMs: 9_000,
    objectiveMs: OBJECTIVE_MS,
    pauseMs: 400,
    targets: [],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    ...overrides,
  };
}

function candidate(overrides: Partial<HedgeCandidate>): HedgeCandidate {
  return {
    elapsedMs: 300,
    objectiveMs: OBJECTIVE_MS,
    waitMs: 0,
    serviceMs: 200,
    hasFreeSlot: true,
    isUnhealthy: false,
    ...overrides,
  };
}

describe('hedging', () => {
  it('is for requests that may run more than once, and may have two attempts', () => {
    expect(allowsHedging(route({}))).to.equal(true);
    expect(allowsHedging(route({ kind: CallKind.Stream, isResumable: true }))).to.equal(true);
    expect(allowsHedging(route({ kind: CallKind.Stream }))).to.equal(false);
    expect(allowsHedging(route({ kind: CallKind.AtMostOnce }))).to.equal(false);
    expect(allowsHedging(route({ maxAttempts: 1 }))).to.equal(false);
  });

  it('begins when a request takes much longer than expected, and not if it is late by then', () => {
    expect(hedgeDelayMs(50, OBJECTIVE_MS)).to.equal(240);
    expect(hedgeDelayMs(300, OBJECTIVE_MS)).to.equal(600);
    expect(hedgeDelayMs(400, OBJECTIVE_MS)).to.equal(undefined);
  });

  it('needs a second endpoint at which the request is on time without a queue', () => {
    expect(isHedgeWorthwhile(candidate({}))).to.equal(true);
    expect(isHedgeWorthwhile(candidate({ elapsedMs: 700 }))).to.equal(false);
    expect(isHedgeWorthwhile(candidate({ waitMs: 50 }))).to.equal(false);
    expect(isHedgeWorthwhile(candidate({ hasFreeSlot: false }))).to.equal(false);
    expect(isHedgeWorthwhile(candidate({ isUnhealthy: true }))).to.equal(false);
  });

  it('never costs more than the allowed fraction of the work of first attempts', () => {
    const requests = fc.array(fc.record({ work: fc.nat(50_000), gapMs: fc.nat(2_000) }));
    fc.assert(
      fc.property(requests, fc.double({ min: 0, max: 0.2, noNaN: true }), (list, fraction) => {
        const budget = new HedgeBudget(fraction);
        let now = 0;
        let earned = 0;
        let spent = 0;
        for (const { work, gapMs } of list) {
          now += gapMs;
          earned += work * fraction;
          budget.recordRequest(work, now);
          if (budget.tryAcquire(work)) spent += work;
          expect(spent).to.be.at.most(earned + 1e-6);
        }
      }),
      { seed: 21 },
    );
  });

  it('is off with a fraction of 0', () => {
    const budget = new HedgeBudget(0);
    for (let request = 0; request < 100; request += 1) budget.recordRequest(1_000, request);
    expect(budget.tryAcquire(1)).to.equal(false);
  });
});
