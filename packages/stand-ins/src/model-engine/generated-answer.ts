/**
 * The answers of the model engine stand-in. An answer follows from the request alone, so that a test
 * can tell a wrong, short or crossed answer from the right one.
 */
import { createHash } from 'node:crypto';

/** The part of a chat request that the stand-in looks at. */
export interface EngineRequest {
  model: string;
  messages: { role: string; content?: unknown }[];
  max_tokens?: number | null;
  max_completion_tokens?: number | null;
  /** `output_tokens` sets the natural length of the answer. */
  metadata?: { output_tokens?: string } | null;
}

const DEFAULT_OUTPUT_TOKENS = 32;
const BYTES_PER_TOKEN = 4;
const DIGEST_DIGITS = 8;

/** Why a generation stopped. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

/** Text of the prompt, as one string. */
export function promptText(request: EngineRequest): string {
  return request.messages
    .map((message) => `${message.role}: ${textOf(message.content)}`)
    .join('\n');
}

/** Tokens of a text, by a fixed ratio. */
export function countTokens(text: string): number {
  return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}

/** Tokens that the engine generates when nothing limits it. */
export function naturalLength(request: EngineRequest): number {
  const wanted = Number(request.metadata?.output_tokens ?? DEFAULT_OUTPUT_TOKENS);
  return Number.isInteger(wanted) && wanted > 0 ? wanted : DEFAULT_OUTPUT_TOKENS;
}

/** Tokens that the engine generates for a request. */
export function outputLength(request: EngineRequest): number {
  const limit = request.max_completion_tokens ?? request.max_tokens ?? Infinity;
  return Math.min(naturalLength(request), limit);
}

/** Why the generation of a request stops. */
export function finishReason(request: EngineRequest): FinishReason {
  return outputLength(request) < naturalLength(request) ? FinishReason.Length : FinishReason.Stop;
}

/** The token at a position of the answer to a request. */
export function tokenAt(request: EngineRequest, position: number): string {
  const digest = createHash('sha256')
    .update(promptText(request))
    .digest('hex')
    .slice(0, DIGEST_DIGITS);
  return `${position === 0 ? '' : ' '}${digest}.${position}`;
}

/** The whole text of the answer to a request. */
export function expectedAnswer(request: EngineRequest): string {
  return Array.from({ length: outputLength(request) }, (_, position) =>
    tokenAt(request, position),
  ).join('');
}

function textOf(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
