/** What is told of one call: a log line for each failed attempt and one for its end, and its metrics. */
import { CallKind, fairShareCost } from '@poplarpick/decisions';
import type { Route, ShareUsage } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import type { AttemptRun } from './attempt-run.ts';
import type { CallHead } from './call-protocol.ts';
import type { Place } from './call-placement.ts';

/** Options of a `CallJournal`. */
export interface CallJournalOptions {
  state: RouterState;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** How a call ended, and what that was decided from. */
export interface CallEnd {
  outcome: string;
  reason: string | undefined;
  place: Place | undefined;
  shareUse: ShareUsage;
  /** The caller had been refused before. */
  isReturning: boolean;
  /** Attempts that reached an endpoint. */
  attempts: number;
  /** Monotonic time of the first event; undefined where there was none. */
  firstEventAt: number | undefined;
}

/** Tells what becomes of one call. */
export class CallJournal {
  private readonly options: CallJournalOptions;

  constructor(options: CallJournalOptions) {
    this.options = options;
  }

  /**
   * Tells that an attempt is sent, where that must be known even if this process is killed at once:
   * for calls that may run only once, and for second attempts.
   */
  noteSent(place: Place, attempt: number, leftMs: number): void {
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

  noteFailedAttempt(run: AttemptRun, error: RequestError, lastEventId: number | undefined): void {
    const { state, head, pool } = this.options;
    state.metrics.noteFailedAttempt(run.place.record.endpoint.id, error.verdict);
    state.log.info({
      event: 'call.attempt_failed',
      request: head.requestId,
      endpoint: run.place.record.endpoint.id,
      reason: error.message,
      verdict: error.verdict,
      last_event: lastEventId,
      second_attempts_left: Math.floor(state.budgetOf(pool).remaining),
    });
  }

  noteEnd(end: CallEnd): void {
    const { head, route, workspace, state, arrivedAt } = this.options;
    const { outcome, reason, place, shareUse, isReturning, attempts, firstEventAt } = end;
    const now = state.clock.monotonic();
    const firstEventMs = firstEventAt && firstEventAt - arrivedAt;
    const totalMs = now - arrivedAt;
    state.metrics.noteCall({
      route: route.name,
      outcome,
      isBeyondShare: shareUse.shareUsed >= 1,
      firstEventMs,
      expectedMs: place && place.waitMs + place.serviceMs,
      totalMs,
      objectiveMs: route.objectiveMs,
    });
    const wentWell = outcome === 'ok' || SUCCESS_STATUS.test(outcome);
    if (wentWell && !state.lineBudget.tryAcquire(now)) return;
    const leftOut = wentWell ? state.lineBudget.takeSuppressedCount() : 0;
    state.log.info({
      event: 'call.ended',
      request: head.requestId,
      outcome,
      reason,
      route: route.name,
      workspace,
      endpoint: place?.record.endpoint.id,
      share_used: Number(shareUse.shareUsed.toFixed(2)),
      surplus_used: Number(shareUse.surplusUsed.toFixed(2)),
      returning: isReturning,
      attempts,
      share_tokens: head.prompt && fairShareCost(head.prompt),
      wait_ms: round(place?.waitMs),
      service_ms: round(place?.serviceMs),
      tokens_ahead: place?.tokensAhead,
      requests_ahead: place?.requestsAhead,
      read_tokens: place?.readTokens,
      missing_tokens: place?.uncachedTokens,
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
