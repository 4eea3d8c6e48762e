/**
 * Feeds the latencies of one call to the latency estimator and the surplus limiter of its pool. A router without
 * processor time reads events late, which says nothing of the endpoints: it learns nothing then. Otherwise it would
 * take the endpoints for slow and refuse its callers for waits that they don't have there.
 */
import type { Route } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import type { CallAttempt } from './call-attempt.ts';

/** The properties of an attempt that its measurements need. */
type MeasuredAttempt = Pick<CallAttempt, 'placement' | 'inFlight'>;

/** Options of a `CallLatencyRecorder`. */
export interface CallLatencyRecorderOptions {
  state: RouterState;
  route: Route;
  pool: string;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** Estimated output tokens; undefined for a call without a prompt. */
  outputTokens?: number | undefined;
}

/** Records the latencies of one call. */
export class CallLatencyRecorder {
  private readonly options: CallLatencyRecorderOptions;
  private events = 0;
  /** Monotonic time of the latest event, in ms. */
  private eventAt = 0;
  /** Longest time between two events, in ms. */
  private longestPause = 0;
  /** An event of the call may have been read late. */
  private hasReadLate = false;

  constructor(options: CallLatencyRecorderOptions) {
    this.options = options;
  }

  /**
   * Records the first event of a stream. The surplus limiter counts only calls within their workspace's
   * share; the latency estimator counts only calls that found a free slot.
   */
  recordFirstEvent(attempt: MeasuredAttempt, isWithinShare: boolean): void {
    const { record, tokensAhead, prefillTokens, hasFreeSlot } = attempt.placement;
    const { state, pool } = this.options;
    record.load.recordStarted(attempt.inFlight);
    if (this.checkLate()) return;
    if (isWithinShare) this.recordServed(attempt);
    if (!hasFreeSlot) return;
    const elapsedMs = this.elapsedSince(attempt.inFlight.sentAt);
    state.pools
      .latencyEstimator(pool)
      .recordFirstEvent(record.incarnation, tokensAhead + prefillTokens, elapsedMs);
  }

  /** Records an event of a stream, the first one included, whose deadline is in `remainingMs`. */
  recordEvent(attempt: MeasuredAttempt, remainingMs: number): void {
    const { state, pool, route, outputTokens } = this.options;
    const now = state.clock.monotonic();
    const elapsedMs = now - this.eventAt;
    this.eventAt = now;
    this.events += 1;
    if (this.events > 1) this.longestPause = Math.max(this.longestPause, elapsedMs);
    if (this.checkLate() || outputTokens === undefined) return;
    const pace = state.pools.streamPace(pool);
    if (this.events > 1) pace.recordEvent(attempt.placement.record.incarnation, elapsedMs, now);
    else pace.recordNeed({ remainingMs, outputTokens, pauseMs: route.pauseMs });
  }

  /** Longest time between two events of the stream, in ms; undefined before the second one. */
  get longestPauseMs(): number | undefined {
    return this.events > 1 ? this.longestPause : undefined;
  }

  /** Records that a stream is complete. */
  recordStreamEnd(): void {
    const { state, pool, outputTokens } = this.options;
    if (outputTokens !== undefined)
      state.pools.streamPace(pool).recordCompleted(outputTokens, this.events);
  }

  /** Records a successful response without events. */
  recordPlainResponse(attempt: MeasuredAttempt): void {
    const { record, hasFreeSlot } = attempt.placement;
    if (!hasFreeSlot || this.checkLate()) return;
    const estimator = this.options.state.pools.latencyEstimator(this.options.pool);
    estimator.recordFirstEvent(record.incarnation, 0, this.elapsedSince(attempt.inFlight.sentAt));
  }

  /** Records the duration of a completed attempt. */
  recordDuration(attempt: MeasuredAttempt): void {
    const { state, pool, route } = this.options;
    const elapsedMs = this.elapsedSince(attempt.inFlight.sentAt);
    // A stream that was read late at any time may have been held up at its endpoint by that.
    if (!this.checkLate() && !this.hasReadLate)
      state.pools.latencyEstimator(pool).recordDuration(elapsedMs);
    state.stop.recordDuration(route.name, elapsedMs);
  }

  /** Whether this router reads events late now, so that times that end now aren't those of the endpoint. */
  private checkLate(): boolean {
    const { isLate } = this.options.state.link;
    this.hasReadLate ||= isLate;
    return isLate;
  }

  private recordServed(attempt: MeasuredAttempt): void {
    const { state, pool, route, arrivedAt } = this.options;
    state.pools.surplusLimiter(pool).recordServed({
      objectiveMs: route.objectiveMs,
      firstEventMs: this.elapsedSince(arrivedAt),
      serviceMs: attempt.placement.serviceMs,
    });
  }

  private elapsedSince(startedAt: number): number {
    return this.options.state.clock.monotonic() - startedAt;
  }
}
