/**
 * Origin of a stream: the pool and the version of the endpoint that sent its first event. What two versions write
 * doesn't fit together, and no endpoint checks it, so a stream goes on only at an endpoint of its origin.
 */
import murmurhash from 'murmurhash';
import type { Endpoint } from './endpoint.ts';
import type { Prompt } from './prompt.ts';

/** Where a stream may go on. */
export interface StreamOrigin {
  pool: string;
  version: string;
}

/** Version in the origin of a stream whose beginner isn't proved; no endpoint is of it. */
const UNPROVED_VERSION = '(unproved)';

/** The origin of a stream of a pool whose beginner isn't proved: the stream can't go on anywhere. */
export function unprovedOrigin(pool: string): StreamOrigin {
  return { pool, version: UNPROVED_VERSION };
}

/** Whether endpoints may go on with streams of an origin at all. */
export function isProvedOrigin({ version }: StreamOrigin): boolean {
  return version !== UNPROVED_VERSION;
}

/** A key under which the origin of a stream is remembered: 53 bits of a hash. */
export type StreamKey = number;

/** What identifies a stream, also when its caller resumes it under another request id. */
export interface StreamIdentity {
  /** Undefined where anyone may call. */
  workspace: string | undefined;
  /** Id of the request that brought the first event; undefined if a caller that resumes a stream names none. */
  requestId: string | undefined;
  prompt: Prompt | undefined;
}

/** The keys of a stream. */
export interface StreamKeys {
  /** By the id of the request that began it. */
  byRequest: StreamKey | undefined;
  /** By the last segment of its prompt, which belongs to one request or session. */
  byPrompt: StreamKey | undefined;
}

const HIGH_BITS_FACTOR = 0x20_0000;
const LOW_BITS_SHIFT = 11;

/** Seed of the second of the two 32-bit hashes of a stream key. */
const SECOND_SEED = 0x9e37_79b9;

/** Computes the keys of a stream. */
export function toStreamKeys({ workspace = '', requestId, prompt }: StreamIdentity): StreamKeys {
  const segment = prompt?.segments.at(-1);
  return {
    byRequest: requestId === undefined ? undefined : hashKey([workspace, requestId]),
    byPrompt:
      prompt === undefined || segment === undefined
        ? undefined
        : hashKey([workspace, prompt.model, segment.id]),
  };
}

function hashKey(parts: readonly string[]): StreamKey {
  const text = parts.join('\u0000');
  const lowBits = murmurhash.v3(text, SECOND_SEED) >>> LOW_BITS_SHIFT;
  return murmurhash.v3(text) * HIGH_BITS_FACTOR + lowBits;
}

/** The origin of the streams that an endpoint begins; undefined if it names no version. */
export function originOf({ pool, version }: Endpoint): StreamOrigin | undefined {
  return version === undefined ? undefined : { pool, version };
}

/** Whether an endpoint may go on with streams of an origin. */
export function isOfOrigin({ pool, version }: Endpoint, origin: StreamOrigin): boolean {
  return isProvedOrigin(origin) && pool === origin.pool && version === origin.version;
}

/** The origin on which two statements agree; undefined if they don't, or if one of them names none. */
export function agreedOrigin(
  a: StreamOrigin | undefined,
  b: StreamOrigin | undefined,
): StreamOrigin | undefined {
  const isAgreed = a !== undefined && a.pool === b?.pool && a.version === b.version;
  return isAgreed ? a : undefined;
}
