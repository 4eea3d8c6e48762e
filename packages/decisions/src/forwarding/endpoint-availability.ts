/**
 * Decides whether one incarnation of an endpoint takes new requests from this router. Two things speak
 * against it:
 *
 * - A drain: the endpoint is about to stop. The store, the endpoint's own responses and other routers can
 *   each say so, in any order, and a router may hear only one of them. A drain lasts until the end of the
 *   incarnation: the statement "ready" that may follow is older state, for example of a store that has
 *   returned from a copy.
 * - A pause: the endpoint refused a request and asked this router to wait. A pause ends by itself. It is
 *   timed by the monotonic clock, so that steps of the wall clock don't shorten it.
 *
 * Requests that are already running aren't affected by either.
 */

/** Who said that an endpoint drains. */
export enum DrainSource {
  /** The endpoint's entry in the store. */
  Store = 'store',
  /** A response of the endpoint itself. */
  Endpoint = 'endpoint',
  /** Another router, which had such a response. */
  Peer = 'peer',
}

/** A request of an endpoint to get nothing for a while. */
export interface PauseRequest {
  /** The value as the endpoint sent it. */
  text: string;
  /** Length in ms; undefined if the value can't be read. */
  durationMs: number | undefined;
}

/** Longest pause, in ms, as a bound on faulty values. */
export const MAX_PAUSE_MS = 300_000;

/** Availability of one incarnation of an endpoint for new requests. */
export class EndpointAvailability {
  private readonly drainSources = new Set<DrainSource>();
  private pausedUntil = Number.NEGATIVE_INFINITY;

  /** Records a statement that the endpoint drains; false if the same source has said so before. */
  recordDrain(source: DrainSource): boolean {
    if (this.drainSources.has(source)) return false;
    this.drainSources.add(source);
    return true;
  }

  /**
   * Records that the endpoint asked for a pause. A pause can only be extended. Returns true if a pause
   * begins, false if one was in progress.
   */
  recordPause(durationMs: number, now: number): boolean {
    const wasPaused = this.isPaused(now);
    const until = now + Math.min(MAX_PAUSE_MS, Math.max(0, durationMs));
    this.pausedUntil = Math.max(this.pausedUntil, until);
    return !wasPaused && this.isPaused(now);
  }

  /** True if the endpoint finishes its requests and takes no new ones. */
  get isDraining(): boolean {
    return this.drainSources.size > 0;
  }

  /** True if this router has heard it from the endpoint itself, so that its peers have to be told. */
  get hasAnnouncedDrain(): boolean {
    return this.drainSources.has(DrainSource.Endpoint);
  }

  isPaused(now: number): boolean {
    return now < this.pausedUntil;
  }

  /** Time left until the pause ends, in ms; 0 if there is none. */
  remainingPauseMs(now: number): number {
    return Math.max(0, this.pausedUntil - now);
  }

  /** True if the endpoint may get a new request. */
  takesRequests(now: number): boolean {
    return !this.isDraining && !this.isPaused(now);
  }
}

/** Spread of the retry times after a pause, as a fraction of the time that is left of it. */
const PAUSE_SPREAD_FRACTION = 0.25;

/** Least spread of the retry times after a pause, in ms. */
const MIN_PAUSE_SPREAD_MS = 200;

/**
 * Retry-after time in ms of a request that found all endpoints of its pool paused, the first of them for
 * another `remainingPauseMs`. `random` in [0, 1) spreads the callers over the time after the pause.
 */
export function retryAfterPauseMs(remainingPauseMs: number, random: number): number {
  const spreadMs = Math.max(MIN_PAUSE_SPREAD_MS, remainingPauseMs * PAUSE_SPREAD_FRACTION);
  return remainingPauseMs + spreadMs * random;
}
