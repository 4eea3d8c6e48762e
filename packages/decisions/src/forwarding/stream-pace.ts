/**
 * Pace of the streams of one pool: the time between two events at each endpoint, and the time that streams can
 * spare for it. An engine runs its requests in one batch, so each request that it admits slows down all others.
 *
 * Load pattern: under overload, engines start requests soon and then produce their tokens so slowly that long
 * streams miss their deadlines. Those have used most of their work by then, and the wait for the first event
 * doesn't show it.
 *
 * What a stream can spare is the time from its first event to its deadline divided by the events that it is
 * expected to have, and at most the pause that its route allows. The longest streams need the fastest pace, so
 * a low quantile over the latest streams stands for the pool.
 */

/** Weight of the previous value in the moving average of an endpoint's pace. */
const PACE_DECAY = 0.9;

/** Weight of the previous value in the moving average of the events per estimated output token. */
const EVENTS_PER_TOKEN_DECAY = 0.98;

/** Time after which an endpoint's pace is out of date, in ms. */
const PACE_TTL_MS = 2_000;

/** Latest streams whose needs are kept. */
const MAX_NEEDS = 64;

/** Fewest streams from which the needs of a pool are known. */
const MIN_NEEDS = 8;

/** Quantile of the needs that stands for the pool. */
const NEED_QUANTILE = 0.1;

/** Fraction of the allowed pause that the mean time between events may take, since pauses vary. */
const PAUSE_FRACTION = 0.5;

/** What a stream that has sent its first event needs. */
export interface StreamNeed {
  /** Time until its deadline, in ms. */
  remainingMs: number;
  /** Estimated output tokens. */
  outputTokens: number;
  /** Longest pause between two events that its route allows, in ms. */
  pauseMs: number;
}

/** Learns the pace of one pool. */
export class StreamPace {
  private readonly paces = new Map<string, { eventMs: number; at: number }>();
  private eventsPerToken: number | undefined;
  private readonly needs: number[] = [];
  private nextNeed = 0;
  /** Quantile of `needs`; undefined after a change. */
  private neededMs: number | undefined;

  /** Records the time between two events of a stream at an endpoint, in ms. */
  recordEvent(endpoint: string, elapsedMs: number, now: number): void {
    const pace = this.paces.get(endpoint);
    if (pace === undefined) {
      this.paces.set(endpoint, { eventMs: elapsedMs, at: now });
      return;
    }
    pace.eventMs = pace.eventMs * PACE_DECAY + elapsedMs * (1 - PACE_DECAY);
    pace.at = now;
  }

  /** Records a complete stream, from which the number of events is learned. */
  recordCompleted(outputTokens: number, events: number): void {
    if (outputTokens <= 0) return;
    const ratio = events / outputTokens;
    this.eventsPerToken =
      this.eventsPerToken === undefined
        ? ratio
        : this.eventsPerToken * EVENTS_PER_TOKEN_DECAY + ratio * (1 - EVENTS_PER_TOKEN_DECAY);
  }

  /** Records the need of a stream that has sent its first event. */
  recordNeed(need: StreamNeed): void {
    const events = this.expectedEvents(need.outputTokens);
    if (events === undefined) return;
    const spareMs = Math.max(0, need.remainingMs) / Math.max(1, events);
    this.needs[this.nextNeed] = Math.min(spareMs, need.pauseMs * PAUSE_FRACTION);
    this.nextNeed = (this.nextNeed + 1) % MAX_NEEDS;
    this.neededMs = undefined;
  }

  /** Mean time between two events at an endpoint, in ms; undefined if it isn't known now. */
  eventMs(endpoint: string, now: number): number | undefined {
    const pace = this.paces.get(endpoint);
    return pace === undefined || now - pace.at > PACE_TTL_MS ? undefined : pace.eventMs;
  }

  /**
   * Pace at an endpoint as a fraction of the slowest one that the pool's streams bear: above 1, long streams miss
   * their deadlines. 0 if it isn't known.
   */
  paceUsed(endpoint: string, now: number): number {
    const eventMs = this.eventMs(endpoint, now);
    const neededMs = this.findNeededMs();
    return eventMs === undefined || neededMs === undefined ? 0 : eventMs / neededMs;
  }

  /** Events that a stream is expected to have; undefined before the first stream is complete. */
  expectedEvents(outputTokens: number): number | undefined {
    return this.eventsPerToken === undefined ? undefined : outputTokens * this.eventsPerToken;
  }

  removeEndpoint(endpoint: string): void {
    this.paces.delete(endpoint);
  }

  private findNeededMs(): number | undefined {
    if (this.needs.length < MIN_NEEDS) return undefined;
    if (this.neededMs === undefined) {
      const sorted = [...this.needs].sort((a, b) => a - b);
      this.neededMs = Math.max(1, sorted[Math.floor(sorted.length * NEED_QUANTILE)] ?? 1);
    }
    return this.neededMs;
  }
}
