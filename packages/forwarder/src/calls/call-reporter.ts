/** What is told of one call: a log line for each failed attempt and one for its end, and its metrics. */
import { CallKind, fairShareCost } from '@poplarpick/decisions';
import type { Route, ShareUsage } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import type { CallAttempt } from './call-attempt.ts';
import type { CallHead } from './call-protocol.ts';
import type { Placement } from './call-placer.ts';

/** Options of a `CallReporter`. */
export interface CallReporterOptions {
  state: RouterState;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** How a call ended, and what that was decided from. */
export interface CallSummary {
  outcome: string;
  reason: string | undefined;
  placement: Placement | undefined;
  shareUsage: ShareUsage;
  /** The caller had been refused before. */
  isCallerRetry: boolean;
  /** Attempts that reached an endpoint. */
  attempts: number;
  /** Monotonic time of the first event; undefined where there was none. */
  firstEventAt: number | undefined;
}

/** Tells what becomes of one call. */
export class CallReporter {
  private readonly options: CallReporterOptions;

  constructor(options: CallReporterOptions) {
    this.options = options;
  }

  /**
   * Tells that an attempt is sent, where that must be known even if this process is killed at once:
   * for calls that may run only once, and for second attempts.
   */
  recordSent(place: Placement, attempt: number, leftMs: number): void {
    const { state, head, route } = this.options;
    if (route.kind !== CallKind.AtMostOnce && attempt === 1) return;
    state.log.info({
      event: 'call.sent',
      request: head.requestId,
      endpoint: place.record.endpoint.id,
      attempt,
      left_ms: round(leftMs),
    });
    state.logOutput?.flush();
  }

  recordFailedAttempt(
    run: CallAttempt,
    error: RequestError,
    lastEventId: number | undefined,
  ): void {
    const { state, head, pool } = this.options;
    state.metrics.recordFailedAttempt(run.placement.record.endpoint.id, error.verdict);
    state.log.info({
      event: 'call.attempt_failed',
      request: head.requestId,
      endpoint: run.placement.record.endpoint.id,
      reason: error.message,
      verdict: error.verdict,
      last_event: lastEventId,
      second_attempts_left: Math.floor(state.retryBudget(pool).remaining),
    });
  }

  recordEnd(end: CallSummary): void {
    const { head, route, workspace, state, arrivedAt } = this.options;
    const { outcome, reason, placement, shareUsage, isCallerRetry, attempts, firstEventAt } = end;
    const now = state.clock.monotonic();
    const firstEventMs = firstEventAt && firstEventAt - arrivedAt;
    const totalMs = now - arrivedAt;
    state.metrics.recordCall({
      route: route.name,
      outcome,
      isOverShare: shareUsage.shareUsed >= 1,
      firstEventMs,
      expectedMs: placement && placement.waitMs + placement.serviceMs,
      totalMs,
      objectiveMs: route.objectiveMs,
    });
    const wentWell = outcome === 'ok' || SUCCESS_STATUS.test(outcome);
    if (wentWell && !state.logRateLimiter.tryAcquire(now)) return;
    const leftOut = wentWell ? state.logRateLimiter.takeSuppressedCount() : 0;
    state.log.info({
      event: 'call.ended',
      request: head.requestId,
      outcome,
      reason,
      route: route.name,
      workspace,
      endpoint: placement?.record.endpoint.id,
      share_used: Number(shareUsage.shareUsed.toFixed(2)),
      surplus_used: Number(shareUsage.surplusUsed.toFixed(2)),
      returning: isCallerRetry,
      attempts,
      share_tokens: head.prompt && fairShareCost(head.prompt),
      wait_ms: round(placement?.waitMs),
      service_ms: round(placement?.serviceMs),
      tokens_ahead: placement?.tokensAhead,
      requests_ahead: placement?.requestsAhead,
      read_tokens: placement?.prefillTokens,
      missing_tokens: placement?.uncachedTokens,
      first_event_ms: round(firstEventMs),
      total_ms: round(totalMs),
      key_age_ms: round(state.freshness.ageMs(now)),
      version: state.routes?.table.version,
      left_out: leftOut === 0 ? undefined : leftOut,
    });
  }
}

const SUCCESS_STATUS = /^status_2/;

function round(value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value);
}
