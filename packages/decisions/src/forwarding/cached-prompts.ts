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
interface CachedSegment {
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
   * The only origin that has a segment cached, by a list that is no older than `maxAgeMs`; undefined if there is
   * none, or more than one. An older list tells nothing of the streams that have begun since.
   */
  findOrigin(hash: SegmentHash, maxAgeMs: number, now: number): StreamOrigin | undefined {
    const entry = this.entries.get(hash);
    return entry !== undefined && now - entry.listedAt <= maxAgeMs ? entry.origin : undefined;
  }

  /** What the lists tell of a segment; undefined if none has it. */
  find(hash: SegmentHash): CachedSegment | undefined {
    return this.entries.get(hash);
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
