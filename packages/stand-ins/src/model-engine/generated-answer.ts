/**
 * Deterministic answers of the model engine stand-in. The answer depends on the request only, so that
 * a test can detect a wrong or truncated answer, or one that belongs to another request.
 */
import { createHash } from 'node:crypto';

/** The fields of a chat request that the stand-in reads. */
export interface EngineRequest {
  model: string;
  messages: { role: string; content?: unknown }[];
  max_tokens?: number | null;
  max_completion_tokens?: number | null;
  /** `output_tokens` sets the length of the answer before any token limit applies. */
  metadata?: { output_tokens?: string } | null;
}

const DEFAULT_OUTPUT_TOKENS = 32;
const BYTES_PER_TOKEN = 4;
const DIGEST_DIGITS = 8;

/** Reason why a generation stopped, as in the OpenAI API. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

/** Concatenates the messages of a request into the prompt text. */
export function promptText(request: EngineRequest): string {
  return request.messages
    .map((message) => `${message.role}: ${contentToText(message.content)}`)
    .join('\n');
}

/** Estimates the tokens of a text from a fixed number of bytes per token. */
export function countTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}

/** Number of tokens that the engine generates when no token limit applies. */
export function naturalLength(request: EngineRequest): number {
  const requestedLength = Number(request.metadata?.output_tokens ?? DEFAULT_OUTPUT_TOKENS);
  return Number.isInteger(requestedLength) && requestedLength > 0
    ? requestedLength
    : DEFAULT_OUTPUT_TOKENS;
}

/** Number of tokens that the engine generates for a request. */
export function outputLength(request: EngineRequest): number {
  const limit = request.max_completion_tokens ?? request.max_tokens ?? Infinity;
  return Math.min(naturalLength(request), limit);
}

/** Reason why the generation for a request stops. */
export function finishReason(request: EngineRequest): FinishReason {
  return outputLength(request) < naturalLength(request) ? FinishReason.Length : FinishReason.Stop;
}

/** Returns the token at a position of the answer to a request. */
export function tokenAt(request: EngineRequest, position: number): string {
  const digest = createHash('sha256')
    .update(promptText(request))
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
  return `${position === 0 ? '' : ' '}${digest}.${position}`;
}

/** Returns the complete text of the answer to a request. */
export function expectedAnswer(request: EngineRequest): string {
  return Array.from({ length: outputLength(request) }, (_, position) =>
    tokenAt(request, position),
  ).join('');
}

function contentToText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
