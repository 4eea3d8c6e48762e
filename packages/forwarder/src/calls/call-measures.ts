/** What one call teaches of its endpoints, its pool and its route. */
import type { Route } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import type { AttemptRun } from './attempt-run.ts';

/** What of an attempt its measures need. */
type MeasuredRun = Pick<AttemptRun, 'place' | 'sent'>;

/** Options of `CallMeasures`. */
export interface CallMeasuresOptions {
  state: RouterState;
  route: Route;
  pool: string;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
}

/** Notes the times of one call. */
export class CallMeasures {
  private readonly options: CallMeasuresOptions;

  constructor(options: CallMeasuresOptions) {
    this.options = options;
  }

  /** Notes the first event of a stream; only calls within their share tell of the surplus. */
  noteFirstEvent(run: MeasuredRun, isWithinShare: boolean): void {
    const { record, tokensAhead, readTokens, hasFreeSlot } = run.place;
    const { state, pool } = this.options;
    record.load.recordStarted(run.sent);
    if (isWithinShare) this.noteServed(run);
    if (!hasFreeSlot) return;
    const elapsedMs = this.elapsed(run.sent.sentAt);
    state.speedOf(pool).recordFirstEvent(record.name, tokensAhead + readTokens, elapsedMs);
  }

  /** Notes a whole answer without events. */
  notePlainAnswer(run: MeasuredRun): void {
    const { record, hasFreeSlot } = run.place;
    if (!hasFreeSlot) return;
    const speed = this.options.state.speedOf(this.options.pool);
    speed.recordFirstEvent(record.name, 0, this.elapsed(run.sent.sentAt));
  }

  noteDuration(run: MeasuredRun): void {
    const speed = this.options.state.speedOf(this.options.pool);
    speed.recordDuration(this.elapsed(run.sent.sentAt));
  }

  private noteServed(run: MeasuredRun): void {
    const { state, pool, route, arrivedAt } = this.options;
    state.gaugeOf(pool).recordServed({
      objectiveMs: route.objectiveMs,
      firstEventMs: this.elapsed(arrivedAt),
      serviceMs: run.place.serviceMs,
    });
  }

  private elapsed(since: number): number {
    return this.options.state.clock.monotonic() - since;
  }
}
