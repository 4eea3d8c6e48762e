/** Writes the log lines of one call (sent and failed attempts, and its end) and updates the metrics. */
import { CallKind, fairShareCost } from '@poplarpick/decisions';
import type { Route, SegmentHash, ShareUsage } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { RouterState } from '../router-state.ts';
import type { RetryObstacle } from './attempt-planner.ts';
import type { CallAttempt } from './call-attempt.ts';
import type { CallHead, ResponseHead } from './call-protocol.ts';
import type { Placement } from './endpoint-evaluator.ts';

/** Options of a `CallReporter`. */
export interface CallReporterOptions {
  state: RouterState;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  /** Hashes of the prompt's shared segments; empty without a prompt. */
  segmentHashes: readonly SegmentHash[];
  /** Identifies the request when it comes again. */
  requestHash: number;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** How a call ended, and the inputs of its placement and admission. */
export interface CallSummary {
  outcome: string;
  reason: string | undefined;
  placement: Placement | undefined;
  shareUsage: ShareUsage;
  /** The caller was refused before and has retried. */
  isCallerRetry: boolean;
  /** Attempts that reached, or may have reached, an endpoint. */
  attempts: number;
  /** Why the latest further attempt was not granted; undefined if it was, or if none was requested. */
  retryObstacle: RetryObstacle | undefined;
  /** Id of the last event that the caller got; undefined without one. */
  lastEventId: number | undefined;
  /** Whether the response of the endpoint had a length or chunks; undefined if none has ended. */
  wasFramed: boolean | undefined;
  /** Monotonic time of the first event, in ms; undefined if there was none. */
  firstEventAt: number | undefined;
  /** Longest time between two events, in ms; undefined if there were fewer than two. */
  longestPauseMs: number | undefined;
}

/** The first event with which an attempt goes on with a stream, and what the stream needs next. */
export interface Continuation {
  head: ResponseHead;
  /** Id of the event; undefined if it has none. */
  eventId: number | undefined;
  /** Id of the last event before it, as far as this router knows; undefined if it had none. */
  previousId: number | string | undefined;
}

/** Logs one call and records its metrics. */
export class CallReporter {
  private readonly options: CallReporterOptions;
  private hasLoggedStall = false;

  constructor(options: CallReporterOptions) {
    this.options = options;
  }

  /**
   * Logs that an attempt is being sent, if the call may run at most once or an earlier attempt was sent.
   * Flushes the log, so that the line survives if this process is killed right afterwards.
   */
  recordSent(placement: Placement, attempt: number, remainingMs: number): void {
    const { state, head, route } = this.options;
    if (route.kind !== CallKind.AtMostOnce && attempt === 1) return;
    state.log.info({
      event: 'call.sent',
      request: head.requestId,
      endpoint: placement.record.endpoint.id,
      attempt,
      left_ms: roundFinite(remainingMs),
    });
    state.logOutput?.flush();
  }

  recordFailedAttempt(
    failedAttempt: CallAttempt,
    error: RequestError,
    lastEventId: number | undefined,
  ): void {
    const { state, head, pool, requestHash, segmentHashes } = this.options;
    state.metrics.recordFailedAttempt(failedAttempt.placement.record.endpoint.id, error.verdict);
    state.log.info({
      event: 'call.attempt_failed',
      request: head.requestId,
      endpoint: failedAttempt.placement.record.endpoint.id,
      reason: error.message,
      verdict: error.verdict,
      last_event: lastEventId,
      request_hash: requestHash,
      segments: segmentHashes.join(',') || undefined,
      second_attempts_left: Math.floor(state.pools.retryBudget(pool).remaining),
    });
  }

  /** Logs the first event of an attempt that goes on with a stream, of this response or of an earlier one. */
  recordContinuation(attempt: CallAttempt, { head, eventId, previousId }: Continuation): void {
    const { state, head: call } = this.options;
    const { endpoint } = attempt;
    state.log.info({
      event: 'stream.continued',
      request: call.requestId,
      resumed_request: call.resumedRequestId,
      endpoint: endpoint.id,
      endpoint_version: endpoint.version,
      endpoint_started_at: endpoint.startedAt,
      endpoints_age_ms: Math.round(state.streams.confirmations.ageMs),
      status: head.status,
      framed: head.isFramed,
      event_id: eventId,
      previous_event: previousId,
    });
  }

  /** Logs, once per call, that a stream stays at a silent endpoint, and why. */
  recordStall(attempt: CallAttempt, obstacle: RetryObstacle | undefined): void {
    if (this.hasLoggedStall) return;
    this.hasLoggedStall = true;
    const { state, head } = this.options;
    state.log.info({
      event: 'call.stalled',
      request: head.requestId,
      endpoint: attempt.placement.record.endpoint.id,
      not_retried: obstacle,
    });
  }

  /** Records the metrics of a call that has ended and logs it; lines about successful calls are rate-limited. */
  recordEnd(summary: CallSummary): void {
    const { head, route, workspace, state, arrivedAt } = this.options;
    const { outcome, reason, placement, shareUsage, isCallerRetry } = summary;
    const { attempts, retryObstacle, firstEventAt } = summary;
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
    const isSuccess = outcome === 'ok' || SUCCESS_OUTCOME.test(outcome);
    if (isSuccess && !state.logRateLimiter.tryAcquire(now)) return;
    const suppressedLines = isSuccess ? state.logRateLimiter.takeSuppressedCount() : 0;
    const isRefused = outcome === 'refused' && workspace !== undefined;
    const sums = isRefused ? state.shares.describeSums(workspace) : undefined;
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
      share_level: roundFinite(sums?.level),
      surplus_level: roundFinite(sums?.levelInUse),
      share_demanded: roundFinite(sums?.demanded),
      share_granted: roundFinite(sums?.granted),
      usage_age_ms: roundFinite(sums?.usageAgeMs),
      loop_used: Number(state.eventLoop.utilization.toFixed(2)),
      returning: isCallerRetry,
      deadline_ms: head.deadlineMs,
      resumed_request: head.resumedRequestId,
      resumed_after: head.lastEventId,
      endpoint_version: placement?.record.endpoint.version,
      last_event: summary.lastEventId,
      framed: summary.wasFramed,
      attempts,
      not_retried: retryObstacle,
      share_tokens: head.prompt && fairShareCost(head.prompt),
      wait_ms: roundFinite(placement?.waitMs),
      service_ms: roundFinite(placement?.serviceMs),
      tokens_ahead: placement?.tokensAhead,
      requests_ahead: placement?.requestsAhead,
      read_tokens: placement?.prefillTokens,
      missing_tokens: placement && Math.round(placement.uncachedTokens),
      fetched_tokens: placement?.transfer?.tokens,
      fetched_from: placement?.transfer?.source.address,
      first_event_ms: roundFinite(firstEventMs),
      longest_pause_ms: roundFinite(summary.longestPauseMs),
      total_ms: roundFinite(totalMs),
      key_age_ms: roundFinite(state.freshness.ageMs(now)),
      version: state.routes?.table.version,
      left_out: suppressedLines === 0 ? undefined : suppressedLines,
    });
  }
}

const SUCCESS_OUTCOME = /^status_2/;

function roundFinite(value: number | undefined): number | undefined {
  return value === undefined || !Number.isFinite(value) ? undefined : Math.round(value);
}
