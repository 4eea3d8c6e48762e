/** What requests share of their prompts, as segments that endpoints cache. */
import { hashSharedPrefix } from '@poplarpick/decisions';
import type { HashedSegment, Prompt, SegmentHash } from '@poplarpick/decisions';

/** The segments of a prompt that other requests may share; empty without a prompt. */
export function sharedSegments(prompt: Prompt | undefined): HashedSegment[] {
  return prompt === undefined ? [] : hashSharedPrefix(prompt);
}

/** Hashes of the segments of a prompt that other requests may share; empty without a prompt. */
export function sharedSegmentHashes(prompt: Prompt | undefined): SegmentHash[] {
  return sharedSegments(prompt).map(({ hash }) => hash);
}
