/**
 * Client of a model engine: OpenAI-compatible streaming over HTTP. Each chunk of the stream is one
 * frame. A stream that ends without its end mark is a failure, never a whole answer.
 */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { describeEndpointFailure } from './endpoint-failure.ts';

/** Cost of a prompt token relative to one that is generated. */
export const PROMPT_TOKEN_COST = 0.1;

/** Time within which the next chunk must come. */
const CHUNK_TIMEOUT_MS = 30_000;

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
    headersTimeout: CHUNK_TIMEOUT_MS,
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
      if (!abort.signal.aborted) listener.onFailure(describeEndpointFailure(error));
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

  private async stream(
    requestId: string,
    job: Job,
    listener: RunListener,
    signal: AbortSignal,
  ): Promise<void> {
    const response = await request(this.baseUrl + job.path, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-request-id': requestId },
      body: job.body,
      dispatcher: this.agent,
      signal,
    });
    if (response.statusCode !== 200)
      throw await refusedByEngine(response.statusCode, response.body);
    const stream = new ChunkStream(listener);
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      if (signal.aborted) return;
      stream.push(bytes);
    }
    if (!signal.aborted) stream.close();
  }
}

/** Turns the bytes of an event stream into frames. */
class ChunkStream {
  private readonly listener: RunListener;
  private readonly decoder = new TextDecoder();
  private readonly parser = createParser({ onEvent: (event) => this.accept(event.data) });
  private pendingBytes = 0;
  private ended = false;
  private generated = 0;
  private finalCost = 0;

  constructor(listener: RunListener) {
    this.listener = listener;
  }

  push(bytes: Buffer): void {
    this.pendingBytes += bytes.length;
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
    if (this.pendingBytes > EVENT_LIMIT_BYTES)
      throw new Error('the engine sent an event over the limit');
  }

  close(): void {
    if (this.ended) this.listener.onEnd(this.finalCost);
    else this.listener.onFailure(incompleteStream());
  }

  private accept(data: string): void {
    this.pendingBytes = 0;
    if (this.ended) return;
    if (data === END_MARK) {
      this.ended = true;
      return;
    }
    const chunk = parseChunk(data);
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
