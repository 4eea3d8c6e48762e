/**
 * Origin of a stream: the pool and the version of the endpoint that sent its first event. What two versions write
 * doesn't fit together, and no endpoint checks it, so a stream goes on only at an endpoint of its origin.
 */
import murmurhash from 'murmurhash';
import type { Endpoint } from './endpoint.ts';

/** Where a stream may go on. */
export interface StreamOrigin {
  pool: string;
  version: string;
}

/** Identifies a stream: 53 bits of a hash of its caller's workspace and the id of the request that began it. */
export type StreamKey = number;

const HIGH_BITS_FACTOR = 0x20_0000;
const LOW_BITS_SHIFT = 11;

/** Seed of the second of the two 32-bit hashes of a stream key. */
const SECOND_SEED = 0x9e37_79b9;

/** Computes the key of a stream. The workspace is undefined where anyone may call. */
export function toStreamKey(workspace: string | undefined, requestId: string): StreamKey {
  const text = `${workspace ?? ''}\u0000${requestId}`;
  const lowBits = murmurhash.v3(text, SECOND_SEED) >>> LOW_BITS_SHIFT;
  return murmurhash.v3(text) * HIGH_BITS_FACTOR + lowBits;
}

/** The origin of the streams that an endpoint begins; undefined if it names no version. */
export function originOf({ pool, version }: Endpoint): StreamOrigin | undefined {
  return version === undefined ? undefined : { pool, version };
}

/** Whether an endpoint may go on with streams of an origin. */
export function isOfOrigin({ pool, version }: Endpoint, origin: StreamOrigin): boolean {
  return pool === origin.pool && version === origin.version;
}

/** Whether two origins are the same. */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.pool === b.pool && a.version === b.version;
}
