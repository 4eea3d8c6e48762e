/** Feeds the latencies of one call to the latency estimator and the surplus limiter of its pool. */
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
}

/** Records the latencies of one call. */
export class CallLatencyRecorder {
  private readonly options: CallLatencyRecorderOptions;

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
    if (isWithinShare) this.recordServed(attempt);
    if (!hasFreeSlot) return;
    const elapsedMs = this.elapsedSince(attempt.inFlight.sentAt);
    state
      .latencyEstimator(pool)
      .recordFirstEvent(record.incarnation, tokensAhead + prefillTokens, elapsedMs);
  }

  /** Records a successful response without events. */
  recordPlainResponse(attempt: MeasuredAttempt): void {
    const { record, hasFreeSlot } = attempt.placement;
    if (!hasFreeSlot) return;
    const estimator = this.options.state.latencyEstimator(this.options.pool);
    estimator.recordFirstEvent(record.incarnation, 0, this.elapsedSince(attempt.inFlight.sentAt));
  }

  /** Records the duration of a completed attempt. */
  recordDuration(attempt: MeasuredAttempt): void {
    const estimator = this.options.state.latencyEstimator(this.options.pool);
    estimator.recordDuration(this.elapsedSince(attempt.inFlight.sentAt));
  }

  private recordServed(attempt: MeasuredAttempt): void {
    const { state, pool, route, arrivedAt } = this.options;
    state.surplusLimiter(pool).recordServed({
      objectiveMs: route.objectiveMs,
      firstEventMs: this.elapsedSince(arrivedAt),
      serviceMs: attempt.placement.serviceMs,
    });
  }

  private elapsedSince(startedAt: number): number {
    return this.options.state.clock.monotonic() - startedAt;
  }
}
