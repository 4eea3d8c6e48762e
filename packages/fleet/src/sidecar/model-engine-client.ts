/**
 * Client of a model engine: OpenAI-compatible streaming over HTTP. Each chunk of the stream is one
 * frame. A stream that ends without its end mark is a failure, never a whole answer.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { describeEndpointFailure } from './endpoint-failure.ts';

/** Cost of a prompt token relative to one that is generated. */
export const PROMPT_TOKEN_COST = 0.1;

/** Time within which an engine must begin its answer. */
const HEADERS_TIMEOUT_MS = 30_000;

/** Time without a chunk after which the stream is opened again. */
const CHUNK_TIMEOUT_MS = 5_000;

/** Breaks in a row without a new chunk after which a stream is given up. */
const IDLE_BREAK_LIMIT = 5;

/** Attempts to open a broken stream again, each a little later than the one before. */
const REOPEN_LIMIT = 5;
const REOPEN_DELAY_MS = 100;

/** Largest part of a stream that may hold no end of an event. */
const EVENT_LIMIT_BYTES = 1024 * 1024;

const END_MARK = '[DONE]';

/** Options of a client of an endpoint. */
export interface ClientOptions {
  baseUrl: string;
}

/** Runs chat requests at a model engine. */
export class ModelEngineClient extends EndpointClient {
  private readonly baseUrl: string;
  private readonly agent = new Agent({
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: CHUNK_TIMEOUT_MS,
    connections: null,
  });

  constructor(options: ClientOptions) {
    super();
    this.baseUrl = options.baseUrl.replace(/\/$/, '');
  }

  override run(requestId: string, job: Job, listener: RunListener): Run {
    const abort = new AbortController();
    this.stream(requestId, job, listener, abort.signal).catch((error: unknown) => {
      if (abort.signal.aborted) return;
      this.cancelStream(requestId);
      listener.onFailure(describeEndpointFailure(error));
    });
    const cancel = (): void => {
      abort.abort();
      this.cancelStream(requestId);
    };
    return { cancel };
  }

  /** The engine lets a stream that lost its reader run on, so it is told; lost orders do no harm. */
  private cancelStream(requestId: string): void {
    const url = `${this.baseUrl}/v1/streams/${requestId}`;
    request(url, { method: 'DELETE', dispatcher: this.agent })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Follows the stream to its end; where the path breaks, reads on from the next event. */
  private async stream(
    requestId: string,
    job: Job,
    listener: RunListener,
    signal: AbortSignal,
  ): Promise<void> {
    const stream = new ChunkStream(listener);
    let response = await this.begin(requestId, job, signal);
    for (let idleBreaks = 0; ;) {
      const before = stream.events;
      try {
        await readStream(response, stream, signal);
        return;
      } catch (error) {
        idleBreaks = stream.events > before ? 0 : idleBreaks + 1;
        if (signal.aborted || !isBroken(error) || idleBreaks > IDLE_BREAK_LIMIT) throw error;
      }
      stream.restart();
      response = await this.reopen(requestId, stream.events, signal);
    }
  }

  private async begin(requestId: string, job: Job, signal: AbortSignal): Promise<EngineResponse> {
    const response = await request(this.baseUrl + job.path, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-request-id': requestId },
      body: job.body,
      dispatcher: this.agent,
      signal,
    });
    if (response.statusCode === 200) return response;
    throw await refusedByEngine(response.statusCode, response.body);
  }

  /** Opens a stream again from an event on. Whatever fails, the engine has run the request. */
  private async reopen(
    requestId: string,
    from: number,
    signal: AbortSignal,
  ): Promise<EngineResponse> {
    const url = `${this.baseUrl}/v1/streams/${requestId}?from=${from}`;
    for (let attempt = 1; attempt <= REOPEN_LIMIT; attempt += 1) {
      await pause(REOPEN_DELAY_MS * attempt, undefined, { signal });
      try {
        const response = await request(url, { dispatcher: this.agent, signal });
        if (response.statusCode === 200) return response;
        await response.body.dump();
        break;
      } catch (error) {
        if (signal.aborted) throw error;
      }
    }
    throw incompleteStream();
  }
}

type EngineResponse = Dispatcher.ResponseData;

async function readStream(
  response: EngineResponse,
  stream: ChunkStream,
  signal: AbortSignal,
): Promise<void> {
  for await (const bytes of response.body as AsyncIterable<Buffer>) {
    if (signal.aborted) return;
    stream.push(bytes);
  }
  if (!signal.aborted) stream.close();
}

/** Whether a stream broke on its way, so that it can be read on, rather than ended with garbage. */
function isBroken(error: unknown): boolean {
  if (error instanceof RequestError) return error.code === ErrorCode.Incomplete;
  return error instanceof Error && 'code' in error;
}

/** Turns the bytes of an event stream into frames. */
class ChunkStream {
  private readonly listener: RunListener;
  private decoder = new TextDecoder();
  private parser = this.makeParser();
  private count = 0;
  private pendingBytes = 0;
  private ended = false;
  private generated = 0;
  private finalCost = 0;

  constructor(listener: RunListener) {
    this.listener = listener;
  }

  /** Events that have arrived whole. */
  get events(): number {
    return this.count;
  }

  /** Begins to read another response at the next event. */
  restart(): void {
    this.decoder = new TextDecoder();
    this.parser = this.makeParser();
    this.pendingBytes = 0;
  }

  push(bytes: Buffer): void {
    this.pendingBytes += bytes.length;
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
    if (this.pendingBytes > EVENT_LIMIT_BYTES)
      throw new Error('the engine sent an event over the limit');
  }

  close(): void {
    if (!this.ended) throw incompleteStream();
    this.listener.onEnd(this.finalCost);
  }

  private makeParser() {
    return createParser({ onEvent: (event) => this.accept(event.data) });
  }

  private accept(data: string): void {
    this.pendingBytes = 0;
    if (this.ended) return;
    if (data === END_MARK) {
      this.ended = true;
      return;
    }
    const chunk = parseChunk(data);
    this.count += 1;
    if (chunk.usage != null) {
      this.finalCost = costOfUsage(chunk.usage) - this.generated;
      this.listener.onFrame(Buffer.from(data), 0);
      return;
    }
    this.generated += 1;
    this.listener.onFrame(Buffer.from(data), 1);
  }
}

interface Usage {
  prompt_tokens?: number;
  completion_tokens?: number;
}

function parseChunk(data: string): { usage?: Usage | null } {
  const chunk = JSON.parse(data) as { usage?: Usage | null } | null;
  if (chunk === null || typeof chunk !== 'object')
    throw new Error('the engine sent a chunk that is no object');
  return chunk;
}

function costOfUsage(usage: Usage): number {
  return (usage.completion_tokens ?? 0) + (usage.prompt_tokens ?? 0) * PROMPT_TOKEN_COST;
}

async function refusedByEngine(
  status: number,
  body: { text(): Promise<string> },
): Promise<RequestError> {
  const text = (await body.text()).slice(0, 200);
  const ran = status >= 500 ? Verdict.MayHaveRun : Verdict.NotRun;
  const code = status < 500 ? ErrorCode.InvalidRequest : ErrorCode.EndpointFailed;
  return new RequestError(`the engine answered ${status}: ${text}`, { code, verdict: ran });
}

function incompleteStream(): RequestError {
  return new RequestError('the engine ended the stream without its end mark', {
    code: ErrorCode.Incomplete,
    verdict: Verdict.Ran,
  });
}
