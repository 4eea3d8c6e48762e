/**
 * Index of the prompt segments in the prefix cache of each endpoint, as far as it can be inferred from the
 * requests that the routers send. Endpoints evict the least recently used segments without notice, so the
 * index keeps an LRU cache of the same capacity for each endpoint.
 */
import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import type { Prompt } from './prompt.ts';

/** Cache capacity assumed if the pool doesn't specify one, in tokens. */
const DEFAULT_CAPACITY_TOKENS = 500_000;

/** Hash of a model and a segment id, which identifies the segment in reports between routers. */
export type SegmentHash = number;

/** A prompt segment identified by its hash. */
export interface HashedSegment {
  hash: SegmentHash;
  tokens: number;
}

/** Hashes the segments that other requests may share, in order. The last segment isn't shared. */
export function hashSharedPrefix(prompt: Prompt): HashedSegment[] {
  return prompt.segments
    .slice(0, -1)
    .map(({ id, tokens }) => ({ hash: hashSegment(prompt.model, id), tokens }));
}

/** Hashes a segment. Equal segment ids of different models have different hashes. */
export function hashSegment(model: string, id: string): SegmentHash {
  return murmurhash.v3(`${model}\u0000${id}`);
}

/** Tracks the segments that each endpoint has cached. */
export class PrefixCacheIndex {
  /** Time in ms from which each segment is cached, by endpoint. */
  private readonly caches = new Map<string, LRUCache<SegmentHash, number>>();

  /**
   * Records that an endpoint caches a segment from time `at` on; returns true if it wasn't in the index before.
   */
  recordCached(
    endpoint: string,
    segment: HashedSegment,
    capacityTokens = DEFAULT_CAPACITY_TOKENS,
    at = Number.NEGATIVE_INFINITY,
  ): boolean {
    let cache = this.caches.get(endpoint);
    if (cache === undefined) {
      cache = new LRUCache({
        maxSize: Math.max(1, capacityTokens),
      });
      this.caches.set(endpoint, cache);
    }
    const isNew = cache.get(segment.hash) === undefined;
    if (isNew) cache.set(segment.hash, at, { size: Math.max(1, segment.tokens) });
    return isNew;
  }

  /**
   * Tokens of a shared prefix that an endpoint would have to prefill: those of the first uncached segment
   * and of all segments after it, which a prefix cache can't reuse. Segments that are cached only after time `by`
   * don't count as cached.
   */
  uncachedTokens(
    endpoint: string,
    segments: readonly HashedSegment[],
    by = Number.POSITIVE_INFINITY,
  ): number {
    const cache = this.caches.get(endpoint);
    let uncached = 0;
    for (const { hash, tokens } of segments) {
      const cachedAt = cache?.peek(hash);
      if (uncached > 0 || cachedAt === undefined || cachedAt > by) uncached += tokens;
    }
    return uncached;
  }

  /** Removes all segments of an endpoint that is gone. */
  removeEndpoint(endpoint: string): void {
    this.caches.delete(endpoint);
  }
}
