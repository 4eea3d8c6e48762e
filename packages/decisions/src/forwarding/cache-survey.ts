/**
 * What the lists of cached prompts that a router asks for after its start prove of the streams that nobody remembers.
 * An endpoint that lists the last segment of a prompt may have begun the stream. One that has told no list may have
 * begun it as well, whatever the reason: it is silent, its answer failed, it has gone meanwhile, or another process
 * answers in its place. So the endpoints that list the segment tell the origin only if all others that were listed
 * since the start are of that origin, or have told that they don't have it. And the list of endpoints must have been
 * whole since the stream began: an endpoint that isn't listed yet can neither tell nor be missed.
 */
import { LRUCache } from 'lru-cache';
import { CachedPrompts } from './cached-prompts.ts';
import { incarnationOf } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import type { SegmentHash } from './prefix-cache-index.ts';
import { isOfOrigin } from './stream-origin.ts';
import type { StreamOrigin } from './stream-origin.ts';

/** Most processes of endpoints that are remembered, as a bound on memory. */
const MAX_PROCESSES = 10_000;

/** How the question for an endpoint's list stands. */
enum ListState {
  Told,
  /** No list will come from this process, or from the one that its entry names. */
  Ended,
}

/** What the lists tell of the origin of a stream. */
export interface CacheFinding {
  /** The origin that is proved, if any. */
  origin: StreamOrigin | undefined;
  /** No origin is proved, and lists that may still come can prove one. */
  mayBeFoundLater: boolean;
  /** Number of endpoints that have told no list and may have begun the stream at another origin. */
  untold: number;
}

/** Nothing is proved, and nothing will be. */
export const NOTHING_CACHED: CacheFinding = {
  origin: undefined,
  mayBeFoundLater: false,
  untold: 0,
};

/** What is asked of a survey. */
export interface CacheQuery {
  /** Hash of the last segment of the prompt. */
  hash: SegmentHash;
  /** Time after which a stream is over for certain, in ms. */
  horizonMs: number;
  /** The list of endpoints is known to have held all running ones since the stream began. */
  isListWhole: boolean;
  now: number;
}

/** Options of a `CacheSurvey`. */
export interface CacheSurveyOptions {
  /** The endpoints that are listed now and tell what they have cached. */
  endpoints: () => Iterable<Endpoint>;
  /** Monotonic time of the start of the router, in ms. */
  startedAt: number;
}

/** The lists of cached prompts of all endpoints that were listed since the start of a router. */
export class CacheSurvey {
  private readonly options: CacheSurveyOptions;
  private readonly cachedPrompts = new CachedPrompts();
  /** By `listingKeyOf` the endpoint; it is missing while the list of the endpoint is awaited. */
  private readonly states = new LRUCache<string, ListState>({ max: MAX_PROCESSES });
  /** Endpoints that have gone without telling a list, by `listingKeyOf` the endpoint. */
  private readonly departedUntold = new LRUCache<string, Endpoint>({ max: MAX_PROCESSES });

  constructor(options: CacheSurveyOptions) {
    this.options = options;
  }

  /** Whether the list of an endpoint may still come. */
  awaits(endpoint: Endpoint): boolean {
    return !this.states.has(listingKeyOf(endpoint));
  }

  /** Records the segments that an endpoint lists as cached. */
  recordListing(
    endpoint: Endpoint,
    segments: Iterable<{ hash: SegmentHash }>,
    origin: StreamOrigin | undefined,
    now: number,
  ): void {
    this.cachedPrompts.recordListing(origin, segments, now);
    this.states.set(listingKeyOf(endpoint), ListState.Told);
  }

  /** Records that no list of an endpoint will come. */
  recordEnded(endpoint: Endpoint): void {
    if (this.awaits(endpoint)) this.states.set(listingKeyOf(endpoint), ListState.Ended);
  }

  /** Records that an endpoint is no longer listed, or no longer in this form. */
  recordDeparted(endpoint: Endpoint): void {
    if (!this.hasTold(endpoint)) this.departedUntold.set(listingKeyOf(endpoint), endpoint);
  }

  /** What the lists tell of the stream whose prompt ends with a segment. */
  find({ hash, horizonMs, isListWhole, now }: CacheQuery): CacheFinding {
    if (now - this.options.startedAt > horizonMs) return NOTHING_CACHED;
    const segment = this.cachedPrompts.find(hash, horizonMs, now);
    if (segment !== undefined && segment.origin === undefined) return NOTHING_CACHED;
    const origin = segment?.origin;
    const mayHaveBegun = (endpoint: Endpoint): boolean =>
      !this.hasTold(endpoint) && (origin === undefined || !isOfOrigin(endpoint, origin));
    const listed = [...this.options.endpoints()].filter(mayHaveBegun);
    const departed = [...this.departedUntold.values()].filter(mayHaveBegun);
    const untold = listed.length + departed.length;
    if (untold === 0 && isListWhole) return { origin, mayBeFoundLater: false, untold };
    const isAwaited = !isListWhole || listed.some((endpoint) => this.awaits(endpoint));
    const isLost = origin !== undefined && departed.length > 0;
    return { origin: undefined, mayBeFoundLater: isAwaited && !isLost, untold };
  }

  private hasTold(endpoint: Endpoint): boolean {
    return this.states.get(listingKeyOf(endpoint)) === ListState.Told;
  }
}

/** Identifies what the list of an endpoint stands for: one process, of the version that its entry names. */
export function listingKeyOf(endpoint: Endpoint): string {
  return `${incarnationOf(endpoint)}/${endpoint.version ?? ''}`;
}
