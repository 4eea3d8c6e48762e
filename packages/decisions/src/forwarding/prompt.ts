/** Prompt metadata for placement and fair-share accounting: segments and token counts, but no text. */

/** A segment of a prompt. Requests with a common prefix have the same leading segments. */
export interface PromptSegment {
  id: string;
  tokens: number;
}

/** Token counts of a request's prompt and of its output. */
export interface Prompt {
  model: string;
  segments: readonly PromptSegment[];
  /** Number of tokens of the whole prompt. */
  inputTokens: number;
  /** Largest number of output tokens that the request allows. */
  maxOutputTokens: number;
  /** Expected number of output tokens. */
  outputTokens: number;
}

/** Tokens of the prefix that other requests may share, which is all segments but the last. */
export function sharedPrefixTokens(prompt: Prompt): number {
  return prompt.segments.slice(0, -1).reduce((sum, segment) => sum + segment.tokens, 0);
}

/**
 * Identifies the shared prefix of a prompt for prefix-affinity placement. Requests with the same key should
 * go to the same endpoint.
 */
export function affinityKey(prompt: Prompt): string {
  const lastShared = prompt.segments.at(-2) ?? prompt.segments.at(-1);
  return `${prompt.model}\u0000${lastShared?.id ?? ''}`;
}

/** Fair-share cost of a request in tokens. An output token counts twice as much as a prompt token. */
export function fairShareCost(prompt: Prompt): number {
  return prompt.inputTokens + 2 * prompt.outputTokens;
}
