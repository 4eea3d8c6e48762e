/**
 * Streams of this router whose keepers weren't told, since every router could infer their origins when they began.
 * That can end while they run: a second version is listed, their route moves, or the list of endpoints gets old.
 * Their keepers are told then, before this router is lost. A stream that has ended whole is never resumed.
 */
import { LRUCache } from 'lru-cache';
import type { Route, StreamKey, StreamKeys, StreamOrigin } from '@poplarpick/decisions';

/** Most streams that are remembered, as a bound on memory; the oldest are forgotten first. */
const MAX_STREAMS = 20_000;

/** A stream and what its keepers have to know of it. */
export interface UntoldStream {
  keys: StreamKeys;
  origin: StreamOrigin;
  /** The route, as it was when the stream began. */
  route: Route;
  /** Monotonic time until which the origin matters, in ms. */
  validUntil: number;
}

/** Which streams are taken. */
export interface UntoldStreamSelection {
  /** Whether every router can infer the origin of the streams of a route. */
  isInferable: (route: Route) => boolean;
  /** Most streams to take. */
  limit: number;
  now: number;
}

/** Remembers streams until their keepers have to be told. */
export class UntoldStreams {
  private readonly streams = new LRUCache<StreamKey, UntoldStream>({ max: MAX_STREAMS });

  get size(): number {
    return this.streams.size;
  }

  record(stream: UntoldStream): void {
    const key = identify(stream.keys);
    if (key !== undefined) this.streams.set(key, stream);
  }

  /** Forgets a stream, since it has ended whole or needs no telling any more. */
  forget(keys: StreamKeys): void {
    const key = identify(keys);
    if (key !== undefined) this.streams.delete(key);
  }

  /** Removes and returns streams whose origins can't be inferred any more; the newest first, as they run longest. */
  take({ isInferable, limit, now }: UntoldStreamSelection): UntoldStream[] {
    const inferable = new Map<Route, boolean>();
    const taken: UntoldStream[] = [];
    const expired: UntoldStream[] = [];
    for (const stream of this.streams.values()) {
      if (taken.length >= limit) break;
      const { route, validUntil } = stream;
      if (now >= validUntil) {
        expired.push(stream);
        continue;
      }
      const isRouteInferable = inferable.get(route) ?? isInferable(route);
      inferable.set(route, isRouteInferable);
      if (!isRouteInferable) taken.push(stream);
    }
    for (const { keys } of [...taken, ...expired]) this.forget(keys);
    return taken;
  }
}

/** The key under which a stream is remembered here; undefined if nothing identifies it. */
function identify({ byRequest, byPrompt }: StreamKeys): StreamKey | undefined {
  return byRequest ?? byPrompt;
}
