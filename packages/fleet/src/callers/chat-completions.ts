/**
 * `POST /v1/chat/completions`, compatible with OpenAI clients. Engines are always asked to stream; for
 * a caller that does not stream, the chunks are aggregated into one response here. Each frame is one
 * chunk of the engine as JSON text.
 */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import { EndpointKind } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { AnswerSink } from '../router/answer-sink.ts';
import { sendJson } from '../http-gateway.ts';
import { createErrorBody, REQUEST_ID_HEADER, sendRequestError } from './api-errors.ts';
import { writeBounded } from './bounded-write.ts';
import { createInvalidRequestError } from './request-headers.ts';

const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: z.int().positive().nullish(),
  max_completion_tokens: z.int().positive().nullish(),
});

/** A chat request; only the fields that the router evaluates are validated. */
export type ChatRequest = z.output<typeof chatRequestSchema>;

/** Parses the body of a chat request. Throws `invalid_request`. */
export function parseChatRequest(body: Buffer): ChatRequest {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw createInvalidRequestError('the body is not valid JSON', error);
  }
  const result = chatRequestSchema.safeParse(parsed);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw createInvalidRequestError(
    `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'invalid'}`,
  );
}

/** Options of `createChatJob`. */
export interface ChatJobOptions {
  request: ChatRequest;
  workspace: string;
  repeatable: boolean;
  idempotencyKey: string | undefined;
}

/** Creates the job of a chat request, with the caller's body but streaming and usage enabled. */
export function createChatJob({
  request,
  workspace,
  repeatable,
  idempotencyKey,
}: ChatJobOptions): Job {
  const body = { ...request, stream: true, stream_options: { include_usage: true } };
  return {
    kind: EndpointKind.Model,
    pool: request.model,
    workspace,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [{ name: 'content-type', value: 'application/json' }],
    body: Buffer.from(JSON.stringify(body)),
    repeatable,
    idempotencyKey,
    costHint: request.max_completion_tokens ?? request.max_tokens ?? undefined,
  };
}

const EVENT_PREFIX = Buffer.from('data: ');
const EVENT_TERMINATOR = Buffer.from('\n\n');
const EMPTY_CHOICES = Buffer.from('"choices":[]');
const USAGE_OBJECT = Buffer.from('"usage":{');

/** Streams an answer to the caller as server-sent events. */
export class ChatStreamSink extends AnswerSink {
  private readonly response: ServerResponse;
  private readonly requestId: string;
  private readonly includeUsage: boolean;

  constructor(response: ServerResponse, requestId: string, includeUsage: boolean) {
    super();
    this.response = response;
    this.requestId = requestId;
    this.includeUsage = includeUsage;
  }

  override deliver(data: Buffer): void {
    if (!this.includeUsage && isUsageChunk(data)) return;
    this.writeHead();
    // Forwards the chunk's bytes unchanged, without parsing and serialising it again.
    writeBounded(this.response, Buffer.concat([EVENT_PREFIX, data, EVENT_TERMINATOR]));
  }

  override finish(): void {
    this.writeHead();
    this.response.end('data: [DONE]\n\n');
  }

  override fail(error: RequestError): void {
    if (!this.response.headersSent) {
      sendRequestError(this.response, error, this.requestId);
      return;
    }
    this.response.end(
      `event: error\ndata: ${JSON.stringify(createErrorBody(error, this.requestId))}\n\n`,
    );
  }

  private writeHead(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      [REQUEST_ID_HEADER]: this.requestId,
    });
  }
}

/** Fields of an engine's chunk from which the aggregated response is built. */
interface Chunk {
  id?: string;
  created?: number;
  model?: string;
  system_fingerprint?: string;
  usage?: unknown;
  choices?: ChoiceDelta[];
}

interface ChoiceDelta {
  index: number;
  delta?: {
    role?: string;
    content?: string | null;
    refusal?: string | null;
    tool_calls?: ToolCallDelta[];
  };
  finish_reason?: string | null;
}

interface ToolCallDelta {
  index: number;
  id?: string;
  type?: string;
  function?: { name?: string; arguments?: string };
}

interface ToolCall {
  id: string;
  type: string;
  function: { name: string; arguments: string };
}

interface Choice {
  index: number;
  message: {
    role: string;
    content: string | null;
    refusal: string | null;
    tool_calls?: ToolCall[];
  };
  logprobs: null;
  finish_reason: string | null;
}

/** Aggregates the chunks of an answer and sends them as one JSON object. */
export class ChatAggregatingSink extends AnswerSink {
  private readonly response: ServerResponse;
  private readonly requestId: string;
  private readonly choices = new Map<number, Choice>();
  private firstChunk: Chunk | undefined;
  private usage: unknown;

  constructor(response: ServerResponse, requestId: string) {
    super();
    this.response = response;
    this.requestId = requestId;
  }

  override deliver(data: Buffer): void {
    const chunk = JSON.parse(data.toString('utf8')) as Chunk;
    this.firstChunk ??= chunk;
    this.usage = chunk.usage ?? this.usage;
    for (const part of chunk.choices ?? []) appendChoiceDelta(this.choices, part);
  }

  override finish(): void {
    this.response.setHeader(REQUEST_ID_HEADER, this.requestId);
    sendJson(this.response, 200, {
      id: this.firstChunk?.id ?? this.requestId,
      object: 'chat.completion',
      created: this.firstChunk?.created ?? 0,
      model: this.firstChunk?.model ?? '',
      choices: [...this.choices.values()].sort((a, b) => a.index - b.index),
      usage: this.usage,
    });
  }

  override fail(error: RequestError): void {
    sendRequestError(this.response, error, this.requestId);
  }
}

function appendChoiceDelta(choices: Map<number, Choice>, part: ChoiceDelta): void {
  const choice = choices.get(part.index) ?? createEmptyChoice(part.index);
  choices.set(part.index, choice);
  const { message } = choice;
  if (part.delta?.content != null) message.content = (message.content ?? '') + part.delta.content;
  if (part.delta?.refusal != null) message.refusal = (message.refusal ?? '') + part.delta.refusal;
  for (const call of part.delta?.tool_calls ?? []) appendToolCallDelta(message, call);
  choice.finish_reason = part.finish_reason ?? choice.finish_reason;
}

function appendToolCallDelta(message: Choice['message'], part: ToolCallDelta): void {
  const calls = (message.tool_calls ??= []);
  const call = (calls[part.index] ??= {
    id: '',
    type: 'function',
    function: { name: '', arguments: '' },
  });
  call.id = part.id ?? call.id;
  call.function.name += part.function?.name ?? '';
  call.function.arguments += part.function?.arguments ?? '';
}

function createEmptyChoice(index: number): Choice {
  const message = { role: 'assistant', content: null, refusal: null };
  return { index, message, logprobs: null, finish_reason: null };
}

/** Whether a chunk is the last one of a stream, which has the usage but no choices. */
function isUsageChunk(data: Buffer): boolean {
  return data.includes(EMPTY_CHOICES) && data.includes(USAGE_OBJECT);
}
