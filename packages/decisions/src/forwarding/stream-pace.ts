/**
 * Pace of the streams of one pool: the time between two events at each endpoint, and the time that streams can
 * spare for it. An engine runs its requests in one batch, so each request that it admits slows down all others.
 *
 * Load pattern: under overload, engines start requests soon and then produce their tokens so slowly that long
 * streams miss their deadlines. Those have used most of their work by then, and the wait for the first event
 * doesn't show it.
 *
 * What a stream can spare is the time from its first event to its deadline divided by the events that it is
 * expected to have. The longest streams need the fastest pace, so a low quantile over the latest streams stands
 * for the pool.
 *
 * Engines prefill prompts in chunks between the tokens of their streams. A long prompt at a slow engine therefore
 * makes all streams there pause, also while the engine has capacity to spare. Each router has few streams at each
 * endpoint, so routers tell each other the long pauses that they see.
 */

/** Weight of the previous value in the moving average of an endpoint's pace. */
const PACE_DECAY = 0.9;

/** Weight of the previous value in the moving average of the events per estimated output token. */
const EVENTS_PER_TOKEN_DECAY = 0.98;

/** Factor by which each event reduces the longest pause seen at an endpoint. */
const PEAK_DECAY = 0.98;

/** Pause as a fraction of the allowed one from which on streams may be late, and at which they are. */
const PAUSE_RAMP = { begin: 0.7, end: 1.1 };

/** Time after which an endpoint's pace is out of date, in ms. */
const PACE_TTL_MS = 2_000;

/** Time after which its longest pause is, in ms. It shows the speed of the endpoint more than its load. */
const PEAK_TTL_MS = 10_000;

/** Latest streams whose needs are kept. */
const MAX_NEEDS = 64;

/** Fewest streams from which the needs of a pool are known. */
const MIN_NEEDS = 8;

/** Quantile of the needs that stands for the pool. */
const NEED_QUANTILE = 0.1;

/** What a stream that has sent its first event needs. */
export interface StreamNeed {
  /** Time until its deadline, in ms. */
  remainingMs: number;
  /** Estimated output tokens. */
  outputTokens: number;
  /** Longest pause between two events that its route allows, in ms. */
  pauseMs: number;
}

/** Pace of the streams at one endpoint. */
interface EndpointPace {
  /** Moving average of the time between two events, in ms. */
  eventMs: number;
  /** Longest time between two events lately, in ms. */
  peakMs: number;
  at: number;
}

/** Fraction of the allowed pause from which on a pause is told to other routers. */
const TOLD_PAUSE_FRACTION = 0.5;

/** Time after the latest event at an endpoint within which its longest pause is told, in ms. */
const TOLD_WITHIN_MS = 1_000;

/** Longest pause that is told, in ms, as a bound on what one stall does to the others. */
export const MAX_TOLD_PAUSE_MS = 10_000;

/** Learns the pace of one pool. */
export class StreamPace {
  private readonly paces = new Map<string, EndpointPace>();
  /** Longest pauses that peers have told, by endpoint and subject of the report. */
  private readonly told = new Map<string, Map<string, { peakMs: number; at: number }>>();
  private eventsPerToken: number | undefined;
  private readonly needs: number[] = [];
  /** Shortest pause that a route of the pool allows, in ms. */
  private allowedPauseMs = Number.POSITIVE_INFINITY;
  private nextNeed = 0;
  /** Quantile of `needs`; undefined after a change. */
  private neededMs: number | undefined;

  /** Records the time between two events of a stream at an endpoint, in ms. */
  recordEvent(endpoint: string, elapsedMs: number, now: number): void {
    const pace = this.paces.get(endpoint);
    if (pace === undefined) {
      this.paces.set(endpoint, { eventMs: elapsedMs, peakMs: elapsedMs, at: now });
      return;
    }
    pace.peakMs = Math.max(elapsedMs, pace.peakMs * PEAK_DECAY);
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
    this.allowedPauseMs = Math.min(this.allowedPauseMs, need.pauseMs);
    this.needs[this.nextNeed] = Math.max(0, need.remainingMs) / Math.max(1, events);
    this.nextNeed = (this.nextNeed + 1) % MAX_NEEDS;
    this.neededMs = undefined;
  }

  /** Mean time between two events at an endpoint, in ms; undefined if it isn't known now. */
  private eventMs(endpoint: string, now: number): number | undefined {
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

  /**
   * How certain it is that the streams at an endpoint pause for too long while it prefills prompts for `prefillMs`,
   * in 0..1. Between two events, an engine prefills no more than the longest pause there shows.
   */
  pauseRisk(endpoint: string, prefillMs: number, now: number): number {
    const pace = this.paces.get(endpoint);
    const own = pace === undefined || now - pace.at > PEAK_TTL_MS ? undefined : pace;
    const eventMs = own?.eventMs ?? 0;
    const peakMs = Math.max(own?.peakMs ?? 0, this.toldPeakMs(endpoint, now));
    const pauseMs = Math.min(eventMs + prefillMs, Math.max(peakMs, eventMs));
    const { begin, end } = PAUSE_RAMP;
    const risk = (pauseMs / this.allowedPauseMs - begin) / (end - begin);
    return Math.min(1, Math.max(0, risk));
  }

  /** Events that a stream is expected to have; undefined before the first stream is complete. */
  private expectedEvents(outputTokens: number): number | undefined {
    return this.eventsPerToken === undefined ? undefined : outputTokens * this.eventsPerToken;
  }

  /** The longest pause lately at an endpoint, in ms, if it is long and this router has streams there. */
  pauseToTell(endpoint: string, now: number): number | undefined {
    const pace = this.paces.get(endpoint);
    if (pace === undefined || now - pace.at > TOLD_WITHIN_MS) return undefined;
    const isLong = pace.peakMs >= this.allowedPauseMs * TOLD_PAUSE_FRACTION;
    return isLong ? Math.min(MAX_TOLD_PAUSE_MS, pace.peakMs) : undefined;
  }

  /** Stores the longest pause that a peer, or the peers of a group on average, have seen at an endpoint. */
  applyToldPause(endpoint: string, subject: string, peakMs: number, now: number): void {
    let bySubject = this.told.get(endpoint);
    if (bySubject === undefined) {
      bySubject = new Map();
      this.told.set(endpoint, bySubject);
    }
    bySubject.set(subject, { peakMs, at: now });
  }

  removeEndpoint(endpoint: string): void {
    this.paces.delete(endpoint);
    this.told.delete(endpoint);
  }

  /** Mean of the pauses that peers have told lately, in ms; 0 without one. */
  private toldPeakMs(endpoint: string, now: number): number {
    const bySubject = this.told.get(endpoint);
    if (bySubject === undefined) return 0;
    let sum = 0;
    for (const [subject, { peakMs, at }] of bySubject) {
      if (now - at > PEAK_TTL_MS) bySubject.delete(subject);
      else sum += peakMs;
    }
    return bySubject.size === 0 ? 0 : sum / bySubject.size;
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
