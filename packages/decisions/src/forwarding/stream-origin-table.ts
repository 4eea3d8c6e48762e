/** Memory of the origins of streams, each for a limited time. */
import { LRUCache } from 'lru-cache';
import type { StreamKey, StreamOrigin } from './stream-origin.ts';

/** Most streams that are remembered, as a bound on memory; the oldest are forgotten first. */
const MAX_STREAMS = 50_000;

interface Entry {
  origin: StreamOrigin;
  /** Monotonic time until which the entry is valid, in ms. */
  validUntil: number;
}

/** Origins of streams by key. */
export class StreamOriginTable {
  private readonly entries = new LRUCache<StreamKey, Entry>({ max: MAX_STREAMS });

  /** Remembers an origin for `keepMs`. The first origin of a stream stays; a repetition renews it. */
  record(key: StreamKey, origin: StreamOrigin, keepMs: number, now: number): void {
    const known = this.find(key, now);
    this.entries.set(key, { origin: known ?? origin, validUntil: now + keepMs });
  }

  /** The origin of a stream; undefined if it isn't remembered. */
  find(key: StreamKey, now: number): StreamOrigin | undefined {
    const entry = this.entries.get(key);
    return entry !== undefined && now < entry.validUntil ? entry.origin : undefined;
  }
}
