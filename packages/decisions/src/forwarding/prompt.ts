/** The prompt of a request as far as placement needs it: its parts and their sizes. */

/** A part of a prompt; requests that share a beginning share its parts. */
export interface PromptSegment {
  id: string;
  tokens: number;
}

/** A prompt to read and an answer to write. */
export interface Prompt {
  model: string;
  segments: readonly PromptSegment[];
  /** Tokens of the whole prompt. */
  inputTokens: number;
  /** Most tokens of the answer. */
  maxOutputTokens: number;
  /** Expected tokens of the answer. */
  outputTokens: number;
}

/** Tokens of the parts that other requests may share: all but the last. */
export function sharedPrefixTokens(prompt: Prompt): number {
  return prompt.segments.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Names the shared beginning of a prompt; requests with the same one belong on the same endpoint. */
export function affinityKey(prompt: Prompt): string {
  const shared = prompt.segments.at(-2) ?? prompt.segments.at(-1);
  return `${prompt.model}\u0000${shared?.id ?? ''}`;
}

/** What a request takes of the fleet's token rate: each token read once, each token written twice. */
export function fairShareCost(prompt: Prompt): number {
  return prompt.inputTokens + 2 * prompt.outputTokens;
}
