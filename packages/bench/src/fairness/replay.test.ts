import { expect } from 'chai';
import { Demand } from './arrivals.ts';
import type { Arrival } from './arrivals.ts';
import { replayArrivals, ReplayPolicy, computeReplayUtilisation } from './replay.ts';
import { measureFairnessGap } from './run-trace.ts';

const ENGINES = [{ slots: 1 }, { slots: 1 }];
const WEIGHTS = new Map([
  ['a', 1],
  ['b', 1],
]);

/** Two backlogged workspaces: `a` sends 30 requests through router 0, then `b` sends 10 through router 1. */
function createArrivals(): Arrival[] {
  return Array.from({ length: 40 }, (_, id) => ({
    id,
    workspace: id < 30 ? 'a' : 'b',
    demand: Demand.Backlogged,
    router: id < 30 ? 0 : 1,
    arrivalMs: 0,
    outputTokens: 10,
    maxTokens: 20,
  }));
}

function replay(policy: ReplayPolicy) {
  return replayArrivals({
    arrivals: createArrivals(),
    weights: WEIGHTS,
    engines: ENGINES,
    stepMs: 10,
    policy,
  });
}

describe('replayArrivals', () => {
  it('runs every request once under each policy', () => {
    for (const policy of Object.values(ReplayPolicy)) {
      const ids = replay(policy).requests.map(({ arrival }) => arrival.id);
      expect(new Set(ids).size, policy).to.equal(40);
      expect(ids.length, policy).to.equal(40);
    }
  });

  it('keeps the gap of the global queue within one request per slot, unlike first come, first served', () => {
    const span = { fromMs: 0, toMs: 900 };
    const unit = 10.5;
    expect(measureFairnessGap(replay(ReplayPolicy.GlobalQueue), span).max).to.be.at.most(
      ENGINES.length * unit,
    );
    const firstComeFirstServed = measureFairnessGap(
      replay(ReplayPolicy.FirstComeFirstServed),
      span,
    );
    expect(firstComeFirstServed.max).to.be.above(5 * unit);
  });

  it('leaves no slot of the global queue idle while work waits', () => {
    const span = { fromMs: 0, toMs: 1_000 };
    expect(computeReplayUtilisation(replay(ReplayPolicy.GlobalQueue), ENGINES, span)).to.be.closeTo(
      1,
      1e-9,
    );
  });
});
