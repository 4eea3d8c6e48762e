/** Memory of the origins of streams, each for a limited time. */
import { LRUCache } from 'lru-cache';
import { agreedOrigin } from './stream-origin.ts';
import type { StreamKey, StreamOrigin } from './stream-origin.ts';

/** Most streams that are remembered, as a bound on memory; the oldest are forgotten first. */
const MAX_STREAMS = 50_000;

interface Entry {
  /** Undefined if streams of several origins were recorded under the key. */
  origin: StreamOrigin | undefined;
  /** Monotonic time until which the entry is valid, in ms. */
  validUntil: number;
}

/** Origins of streams by key. */
export class StreamOriginTable {
  private readonly entries = new LRUCache<StreamKey, Entry>({ max: MAX_STREAMS });

  /** Remembers an origin for `keepMs`. If another one is remembered, neither of them is known to be right. */
  record(key: StreamKey, origin: StreamOrigin, keepMs: number, now: number): void {
    const known = this.findEntry(key, now);
    const agreed = known === undefined ? origin : agreedOrigin(known.origin, origin);
    this.entries.set(key, { origin: agreed, validUntil: now + keepMs });
  }

  /** The origin of a stream; undefined if none is remembered, or several are. */
  find(key: StreamKey, now: number): StreamOrigin | undefined {
    return this.findEntry(key, now)?.origin;
  }

  private findEntry(key: StreamKey, now: number): Entry | undefined {
    const entry = this.entries.get(key);
    return entry !== undefined && now < entry.validUntil ? entry : undefined;
  }
}
