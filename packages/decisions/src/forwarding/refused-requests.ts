/**
 * Short memory of refused requests, by which a router recognizes a caller's retry. A retry carries a new
 * request id and a shorter deadline, but deadlines of different callers differ anyway. What stays the same
 * is the workspace and the prompt, whose last segment belongs to the request itself. Retries usually reach
 * another router, so routers announce their refusals to each other.
 */
import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import type { Prompt } from './prompt.ts';

/** Hash of a request's workspace and prompt, which a retry shares with the refused attempt. */
export type RequestFingerprint = number;

/** Time for which a refusal is remembered, in ms; longer than any retry-after time. */
const REFUSAL_TTL_MS = 5_000;

/** Most refusals that are remembered; the oldest ones are forgotten first. */
const MAX_REFUSALS = 20_000;

/** Hashes the workspace and prompt of a request; undefined if the prompt has no segment of its own. */
export function fingerprintRequest(
  workspace: string,
  prompt: Prompt,
): RequestFingerprint | undefined {
  if (prompt.segments.length === 0) return undefined;
  const segments = prompt.segments.map(({ id, tokens }) => `${id}:${tokens}`).join(',');
  const { model, inputTokens, maxOutputTokens } = prompt;
  return murmurhash.v3([workspace, model, segments, inputTokens, maxOutputTokens].join('\u0000'));
}

/** Remembers the requests that routers have refused. */
export class RefusedRequests {
  /** Monotonic time of each refusal, in ms. */
  private readonly refusedAt = new LRUCache<RequestFingerprint, number>({ max: MAX_REFUSALS });

  /** Records that this router or a peer has refused a request. */
  record(fingerprint: RequestFingerprint, now: number): void {
    this.refusedAt.set(fingerprint, now);
  }

  /** True if the request was refused within the last seconds. Forgets the refusal: it had its retry. */
  takeRetry(fingerprint: RequestFingerprint | undefined, now: number): boolean {
    if (fingerprint === undefined) return false;
    const refusedAt = this.refusedAt.get(fingerprint);
    if (refusedAt === undefined) return false;
    this.refusedAt.delete(fingerprint);
    return now - refusedAt <= REFUSAL_TTL_MS;
  }
}
