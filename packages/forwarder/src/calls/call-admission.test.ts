import { expect } from 'chai';
import { CallKind } from '@poplarpick/decisions';
import type { Prompt, Route, ShareUsage } from '@poplarpick/decisions';
import { RequestError, SystemClock } from '@poplarpick/kernel';
import { PoolStates } from '../pool-states.ts';
import type { RouterState } from '../router-state.ts';
import { CallAdmission } from './call-admission.ts';
import type { CallAdmissionOptions } from './call-admission.ts';
import { CallPlacer } from './call-placer.ts';
import type { Placement } from './endpoint-evaluator.ts';

const POOL = 'pool';
const CALLS = 100;
const REMAINING_MS = 10_000;

const PROMPT: Prompt = {
  model: 'm',
  segments: [],
  inputTokens: 900,
  maxOutputTokens: 10,
  outputTokens: 10,
};

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

/** Refuses calls at an endpoint with this wait. Returns the reason, and the rate of late calls that is learned. */
function refuseCalls(shareUsage: ShareUsage, waitMs: number): { reason: string; lateRate: number } {
  const pools = new PoolStates({ retryRatio: 0.2, retrySlack: 50, retryWindowMs: 10_000 });
  const state = {
    clock: new SystemClock(),
    pools,
    routes: undefined,
    random: () => 0.5,
    surplusWaitLimit: () => 0.03,
    shares: { recordArrival: () => false, measureUsage: () => shareUsage },
  } as unknown as RouterState;
  const options = {
    head: { prompt: PROMPT },
    workspace: 'w',
    state,
    pool: POOL,
    route: ROUTE,
    placer: new CallPlacer(state),
    binding: { isResumption: false },
  } as unknown as CallAdmissionOptions;
  const placement = {
    waitMs,
    serviceMs: 50,
    record: { incarnation: 'e@1', endpoint: { pool: POOL } },
  };
  let reason = '';
  for (let call = 0; call < CALLS; call += 1) {
    const admission = new CallAdmission(options);
    admission.recordArrival();
    const result = admission.admit(
      placement as unknown as Placement,
      REMAINING_MS,
      () => undefined,
    );
    if (result instanceof RequestError) reason = result.message;
  }
  return { reason, lateRate: pools.surplusLimiter(POOL).lateRate };
}

describe('a refusal of a call with a prompt', () => {
  it('for the share of its workspace says so, and counts as no contention', () => {
    const { reason, lateRate } = refuseCalls({ shareUsed: 0.5, surplusUsed: 1.5 }, 0);
    expect(reason).to.equal('the workspace has had its share');
    expect(lateRate).to.equal(0);
  });

  it('for its wait counts as contention', () => {
    const { reason, lateRate } = refuseCalls({ shareUsed: 0.5, surplusUsed: 0.5 }, 900);
    expect(reason).to.equal('the wait is too long');
    expect(lateRate).to.be.greaterThan(0.9);
  });
});
