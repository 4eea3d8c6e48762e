/**
 * Hedging of one call: after a time in which its endpoint should have answered, finds a second endpoint at which the
 * call can still be on time, and pays for the extra work from the pool's budget. Retries come first: a hedge is only
 * sent while the retry budget of the pool is nearly untouched.
 */
import {
  allowsHedging,
  fairShareCost,
  hedgeDelayMs,
  isHedgeWorthwhile,
} from '@poplarpick/decisions';
import type { Route } from '@poplarpick/decisions';
import type { Timer } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import type { AttemptPlanner } from './attempt-planner.ts';
import type { CallHead } from './call-protocol.ts';
import type { Placement } from './endpoint-evaluator.ts';

/** Work of a request without a prompt, in tokens. */
const PLAIN_WORK = 1;

/** Options of a `CallHedge`. */
export interface CallHedgeOptions {
  state: RouterState;
  head: CallHead;
  route: Route;
  pool: string;
  planner: AttemptPlanner;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** Called when the call counts as slow. */
  onSlow: () => void;
}

/** The hedge of one call; at most one is sent. */
export class CallHedge {
  private readonly options: CallHedgeOptions;
  private timer: Timer | undefined;

  constructor(options: CallHedgeOptions) {
    this.options = options;
  }

  /** Waits until the call counts as slow after its first attempt was sent. */
  schedule(placement: Placement): void {
    const { state, route, pool, onSlow } = this.options;
    if (!state.hedges.isEnabled || !allowsHedging(route)) return;
    state.hedges.budget(pool).recordRequest(this.work, state.clock.monotonic());
    const delayMs = hedgeDelayMs(placement.expectedFirstEventMs, route.objectiveMs);
    if (delayMs !== undefined) this.timer = state.clock.after(delayMs, onSlow);
  }

  /** The second endpoint of a slow call, paid for; undefined if a hedge doesn't help or isn't granted. */
  acquire(slow: Placement): Placement | undefined {
    const { state, route, pool, planner, arrivedAt } = this.options;
    const now = state.clock.monotonic();
    const retries = state.pools.retryBudget(pool);
    if (!retries.hasSpare(state.countRouters(), now)) return undefined;
    const second = planner.selectHedge(slow.record);
    if (second === undefined) return undefined;
    const isWorthwhile = isHedgeWorthwhile({
      elapsedMs: now - arrivedAt,
      objectiveMs: route.objectiveMs,
      waitMs: second.waitMs,
      serviceMs: second.serviceMs,
      hasFreeSlot: second.hasFreeSlot,
      isUnhealthy: second.isUnhealthy,
    });
    if (!isWorthwhile || !state.hedges.budget(pool).tryAcquire(this.work)) return undefined;
    retries.tryAcquire(state.countRouters(), now);
    state.metrics.recordHedge(pool);
    return second;
  }

  /** Ends the wait, since the call has a response or has ended. */
  stop(): void {
    this.timer?.stop();
    this.timer = undefined;
  }

  private get work(): number {
    const { prompt } = this.options.head;
    return prompt === undefined ? PLAIN_WORK : fairShareCost(prompt);
  }
}
