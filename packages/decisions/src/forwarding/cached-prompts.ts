/**
 * What the caches of endpoints tell about streams that no router remembers. The last segment of a prompt belongs to
 * one request or session, and an endpoint has it cached only if it has read that prompt. If all endpoints that list it
 * are of one origin, that origin began the stream.
 */
import { LRUCache } from 'lru-cache';
import type { SegmentHash } from './prefix-cache-index.ts';
import { agreedOrigin } from './stream-origin.ts';
import type { StreamOrigin } from './stream-origin.ts';

/** Most segments that are remembered, as a bound on memory. */
const MAX_SEGMENTS = 200_000;

/** What is known of a segment. */
export interface CachedSegment {
  /** Undefined if endpoints of several origins list the segment, or one whose version isn't known. */
  origin: StreamOrigin | undefined;
  /** Monotonic time of the latest list with the segment, in ms. */
  listedAt: number;
}

/** The origins of the endpoints that list a segment as cached. */
export class CachedPrompts {
  private readonly entries = new LRUCache<SegmentHash, CachedSegment>({ max: MAX_SEGMENTS });

  /** Records the list of an endpoint; `origin` is undefined if its version isn't known. */
  recordListing(
    origin: StreamOrigin | undefined,
    segments: Iterable<{ hash: SegmentHash }>,
    now: number,
  ): void {
    for (const { hash } of segments) this.recordListed(origin, hash, now);
  }

  /**
   * What the lists tell of a segment, if one that is no older than `maxAgeMs` has it. An older list tells nothing of the
   * streams that have begun since.
   */
  find(hash: SegmentHash, maxAgeMs: number, now: number): CachedSegment | undefined {
    const entry = this.entries.get(hash);
    return entry !== undefined && now - entry.listedAt <= maxAgeMs ? entry : undefined;
  }

  private recordListed(
    origin: StreamOrigin | undefined,
    hash: SegmentHash,
    listedAt: number,
  ): void {
    const known = this.entries.get(hash);
    const agreed = known === undefined ? origin : agreedOrigin(known.origin, origin);
    this.entries.set(hash, { origin: agreed, listedAt });
  }
}
