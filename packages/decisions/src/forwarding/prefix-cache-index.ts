/**
 * Which prompt parts each endpoint keeps, as far as the routers' own sends tell. An endpoint drops the
 * parts that were used least recently, so each is remembered up to what the endpoint can hold.
 */
import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import type { Prompt } from './prompt.ts';

/** Capacity where an endpoint doesn't say what it holds, in tokens. */
const DEFAULT_CAPACITY_TOKENS = 500_000;

/** A number that stands for a part of a model's prompts. */
export type SegmentHash = number;

/** A part of a prompt with its number. */
export interface HashedSegment {
  hash: SegmentHash;
  tokens: number;
}

/** The parts of a prompt that other requests may share, in order. */
export function hashSharedPrefix(prompt: Prompt): HashedSegment[] {
  return prompt.segments
    .slice(0, -1)
    .map(({ id, tokens }) => ({ hash: hashSegment(prompt.model, id), tokens }));
}

/** The number of a part. */
export function hashSegment(model: string, id: string): SegmentHash {
  return murmurhash.v3(`${model}\u0000${id}`);
}

/** Parts that the endpoints keep. */
export class PrefixCacheIndex {
  private readonly kept = new Map<string, LRUCache<SegmentHash, number>>();

  /** Notes that an endpoint reads a part; true where that was not known. */
  recordCached(
    endpoint: string,
    part: HashedSegment,
    capacityTokens = DEFAULT_CAPACITY_TOKENS,
  ): boolean {
    let parts = this.kept.get(endpoint);
    if (parts === undefined) {
      parts = new LRUCache({
        maxSize: Math.max(1, capacityTokens),
        sizeCalculation: (tokens) => Math.max(1, tokens),
      });
      this.kept.set(endpoint, parts);
    }
    const isNew = parts.get(part.hash) === undefined;
    if (isNew) parts.set(part.hash, Math.max(1, part.tokens));
    return isNew;
  }

  /** Shared tokens that an endpoint would have to read: those after the last part that it keeps. */
  uncachedTokens(endpoint: string, parts: readonly HashedSegment[]): number {
    const kept = this.kept.get(endpoint);
    let missing = 0;
    for (const { hash, tokens } of parts) {
      if (missing > 0 || kept?.has(hash) !== true) missing += tokens;
    }
    return missing;
  }

  /** Forgets an endpoint that has ended. */
  removeEndpoint(endpoint: string): void {
    this.kept.delete(endpoint);
  }
}
