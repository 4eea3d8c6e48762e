import { expect } from 'chai';
import { CallKind } from '@poplarpick/decisions';
import type { Route } from '@poplarpick/decisions';
import { ManualClock } from '@poplarpick/kernel/testing/manual-clock';
import { PoolStates } from '../pool-states.ts';
import type { RouterState } from '../router-state.ts';
import { CallLatencyRecorder } from './call-latency-recorder.ts';

const POOL = 'pool';
const INCARNATION = 'engine@1';

/** Time to the first event and total time of each call, in ms. */
const CALL_MS = { firstEvent: 900, total: 4_000 };

const ROUTE: Route = {
  name: 'route',
  host: 'h',
  prefix: '/',
  kind: CallKind.Stream,
  timeoutMs: 10_000,
  objectiveMs: 400,
  pauseMs: 500,
  targets: [{ pool: POOL, weight: 1 }],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
};

/** Serves some calls at a router, and returns what it has learned of its pool. */
function learn(readsLate: boolean): PoolStates {
  const clock = new ManualClock();
  const pools = new PoolStates({ retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000 });
  const state = {
    clock,
    pools,
    link: { isLate: readsLate },
    stop: { recordDuration: () => undefined },
  };
  const load = { recordStarted: () => undefined };
  for (let call = 0; call < 20; call += 1) {
    const sentAt = clock.nowMs;
    const recorder = new CallLatencyRecorder({
      state: state as unknown as RouterState,
      route: ROUTE,
      pool: POOL,
      arrivedAt: sentAt,
      outputTokens: 50,
    });
    const attempt = {
      inFlight: { sentAt, prefillTokens: 500, kvCacheTokens: 600, hasStarted: false },
      placement: {
        record: { incarnation: INCARNATION, load },
        tokensAhead: 0,
        prefillTokens: 500,
        serviceMs: 100,
        hasFreeSlot: true,
      },
    } as unknown as Parameters<CallLatencyRecorder['recordDuration']>[0];
    clock.nowMs = sentAt + CALL_MS.firstEvent;
    recorder.recordFirstEvent(attempt, true);
    clock.nowMs = sentAt + CALL_MS.total;
    recorder.recordDuration(attempt);
  }
  return pools;
}

describe('the latencies of calls', () => {
  it('teach a router that reads events late nothing about the endpoints', () => {
    const untaught = new PoolStates({ retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000 });
    const late = learn(true);
    const estimate = (pools: PoolStates): number[] => [
      pools.latencyEstimator(POOL).estimateFirstEventMs(INCARNATION, 500),
      pools.latencyEstimator(POOL).meanDurationMs,
      pools.surplusLimiter(POOL).lateRate,
    ];
    expect(estimate(late)).to.deep.equal(estimate(untaught));
  });

  it('teach a punctual router how slow the endpoints are', () => {
    const pools = learn(false);
    expect(pools.latencyEstimator(POOL).meanDurationMs).to.be.greaterThan(2_000);
    expect(pools.surplusLimiter(POOL).lateRate).to.be.greaterThan(0.3);
  });
});
