/** What one call teaches of its endpoints, its pool and its route. */
import type { Route } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import type { CallAttempt } from './call-attempt.ts';

/** What of an attempt its measures need. */
type MeasuredAttempt = Pick<CallAttempt, 'placement' | 'inFlight'>;

/** Options of a `CallLatencyRecorder`. */
export interface CallLatencyRecorderOptions {
  state: RouterState;
  route: Route;
  pool: string;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** Notes the times of one call. */
export class CallLatencyRecorder {
  private readonly options: CallLatencyRecorderOptions;

  constructor(options: CallLatencyRecorderOptions) {
    this.options = options;
  }

  /** Notes the first event of a stream; only calls within their share tell of the surplus. */
  recordFirstEvent(run: MeasuredAttempt, isWithinShare: boolean): void {
    const { record, tokensAhead, prefillTokens, hasFreeSlot } = run.placement;
    const { state, pool } = this.options;
    record.load.recordStarted(run.inFlight);
    if (isWithinShare) this.noteServed(run);
    if (!hasFreeSlot) return;
    const elapsedMs = this.elapsed(run.inFlight.sentAt);
    state
      .latencyEstimator(pool)
      .recordFirstEvent(record.incarnation, tokensAhead + prefillTokens, elapsedMs);
  }

  /** Notes a whole answer without events. */
  recordPlainResponse(run: MeasuredAttempt): void {
    const { record, hasFreeSlot } = run.placement;
    if (!hasFreeSlot) return;
    const speed = this.options.state.latencyEstimator(this.options.pool);
    speed.recordFirstEvent(record.incarnation, 0, this.elapsed(run.inFlight.sentAt));
  }

  recordDuration(run: MeasuredAttempt): void {
    const speed = this.options.state.latencyEstimator(this.options.pool);
    speed.recordDuration(this.elapsed(run.inFlight.sentAt));
  }

  private noteServed(run: MeasuredAttempt): void {
    const { state, pool, route, arrivedAt } = this.options;
    state.surplusLimiter(pool).recordServed({
      objectiveMs: route.objectiveMs,
      firstEventMs: this.elapsed(arrivedAt),
      serviceMs: run.placement.serviceMs,
    });
  }

  private elapsed(since: number): number {
    return this.options.state.clock.monotonic() - since;
  }
}
