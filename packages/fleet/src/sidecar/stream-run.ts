/**
 * A run at a model engine, which streams its answer. The run can be suspended at the engine and resumed.
 * After a suspension or a lost connection, reading continues with the latest events received.
 */
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { ChunkStream } from './chunk-stream.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { toEndpointError } from './endpoint-error.ts';
import { readBoundedText, SMALL_ANSWER_BYTES } from '../bounded-body.ts';

/** Timeout for the engine to confirm that it has suspended or cancelled a stream. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Consecutive disconnects without a new event that are retried before the run fails. */
const MAX_IDLE_DISCONNECTS = 5;

/** Delay before a reconnect, multiplied by the number of disconnects without a new event. */
const RECONNECT_DELAY_MS = 100;

/** Bytes of an error's text that are quoted. */
const MAX_QUOTED_BYTES = 200;

/** Options of a `StreamRun`. */
export interface StreamRunOptions {
  baseUrl: string;
  dispatcher: Dispatcher;
  requestId: string;
  listener: RunListener;
}

/**
 * The engine's confirmation that it has suspended or cancelled a stream. A stream that is unknown to the
 * engine is not confirmed, because its start may still be in transit.
 */
const stopConfirmation = z.union([
  z.object({ cancelled: z.literal(true) }),
  z.object({ suspended: z.literal(true) }),
]);

/** The stream was closed before its end mark arrived. */
class BrokenStreamError extends Error {
  constructor() {
    super('the stream closed without its end mark');
    this.name = 'BrokenStreamError';
  }
}

type StreamResponse = Dispatcher.ResponseData;

/** One streamed run. */
export class StreamRun implements Run {
  private readonly options: StreamRunOptions;
  private readonly stream: ChunkStream;
  private connection = new AbortController();
  private isSuspended = false;
  /** Settles once the engine has answered the latest request to start or resume the stream. */
  private pendingResponse: Promise<unknown> = Promise.resolve();
  private isOver = false;
  /** Whether the engine has begun to answer, which makes a reconnect possible. */
  private hasBegun = false;
  private idleDisconnects = 0;

  constructor(options: StreamRunOptions) {
    this.options = options;
    this.stream = new ChunkStream(options.listener);
  }

  /** Sends the job to the engine. */
  start(job: Job): void {
    const { baseUrl, dispatcher, requestId } = this.options;
    const { signal } = this.connection;
    this.consume(
      request(baseUrl + job.path, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'x-request-id': requestId },
        body: job.body,
        dispatcher,
        signal,
      }),
      signal,
    );
  }

  async cancel(): Promise<boolean> {
    this.isOver = true;
    this.connection.abort();
    return this.sendControl('DELETE', '');
  }

  async suspend(): Promise<boolean> {
    // A resume request still in transit could reach the engine after the suspend request and restart
    // the stream unnoticed.
    await this.pendingResponse;
    if (this.isOver) return false;
    this.isSuspended = await this.sendControl('POST', '/suspend');
    if (this.isSuspended) this.connection.abort();
    return this.isSuspended;
  }

  resume(): void {
    if (!this.isSuspended || this.isOver) return;
    this.isSuspended = false;
    this.reconnect();
  }

  /** Continues reading with the latest events received, by which the engine proves that it goes on with them. */
  private reconnect(): void {
    this.connection = new AbortController();
    const { signal } = this.connection;
    const { dispatcher } = this.options;
    const url = `${this.url()}?from=${this.stream.startOver()}`;
    this.consume(request(url, { dispatcher, signal }).then(requireStreamFound), signal);
  }

  private consume(response: Promise<StreamResponse>, signal: AbortSignal): void {
    const previousEventCount = this.stream.eventCount;
    this.pendingResponse = response.catch(() => undefined);
    this.read(response, signal).catch((error: unknown) => {
      if (this.isOver || signal.aborted) return;
      this.idleDisconnects =
        this.stream.eventCount > previousEventCount ? 0 : this.idleDisconnects + 1;
      if (this.hasBegun && isDisconnect(error) && this.idleDisconnects <= MAX_IDLE_DISCONNECTS)
        this.scheduleReconnect();
      else this.fail(error);
    });
  }

  private scheduleReconnect(): void {
    const { signal } = this.connection;
    setTimeout(() => {
      if (!this.isOver && !this.isSuspended && !signal.aborted) this.reconnect();
    }, this.idleDisconnects * RECONNECT_DELAY_MS);
  }

  private fail(error: unknown): void {
    this.isOver = true;
    // The engine would continue a stream whose reader has disconnected.
    void this.sendControl('DELETE', '');
    if (this.hasBegun && isDisconnect(error)) this.stream.finish();
    else this.options.listener.onFailure(toEndpointError(error));
  }

  private async read(responsePromise: Promise<StreamResponse>, signal: AbortSignal): Promise<void> {
    const response = await responsePromise;
    if (response.statusCode !== 200) throw await toEngineError(response.statusCode, response.body);
    this.hasBegun = true;
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      if (signal.aborted) return;
      this.stream.push(bytes);
      if (this.stream.hasEnded) break;
    }
    if (signal.aborted) return;
    if (!this.stream.hasEnded) throw new BrokenStreamError();
    this.isOver = true;
    this.stream.finish();
  }

  private async sendControl(method: Dispatcher.HttpMethod, action: string): Promise<boolean> {
    try {
      const response = await request(this.url() + action, {
        method,
        dispatcher: this.options.dispatcher,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      const text = await readBoundedText(response.body, SMALL_ANSWER_BYTES);
      return response.statusCode === 200 && stopConfirmation.safeParse(JSON.parse(text)).success;
    } catch {
      return false;
    }
  }

  private url(): string {
    return `${this.options.baseUrl}/v1/streams/${encodeURIComponent(this.options.requestId)}`;
  }
}

/** Whether an error is a lost connection, after which reading can continue, rather than invalid data. */
function isDisconnect(error: unknown): boolean {
  if (error instanceof RequestError) return false;
  return error instanceof BrokenStreamError || (error instanceof Error && 'code' in error);
}

/** Rejects if the engine does not have the stream any more, for example after a restart. */
async function requireStreamFound(response: StreamResponse): Promise<StreamResponse> {
  if (response.statusCode === 200) return response;
  await response.body.dump();
  const message = `the engine lost the stream: status ${response.statusCode}`;
  throw new RequestError(message, { code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran });
}

/** Only a refusal tells that the request hasn't run; a success of another kind or a redirection doesn't. */
async function toEngineError(status: number, body: AsyncIterable<Buffer>): Promise<RequestError> {
  const text = await readStart(body);
  const isRefusal = status >= 400 && status < 500;
  const verdict = isRefusal ? Verdict.NotRun : Verdict.MayHaveRun;
  const code = isRefusal ? ErrorCode.InvalidRequest : ErrorCode.EndpointFailed;
  return new RequestError(`the engine answered ${status}: ${text}`, { code, verdict });
}

/** Reads the first bytes of a body, which may have no end, and leaves the rest. */
async function readStart(body: AsyncIterable<Buffer>): Promise<string> {
  let start = Buffer.alloc(0);
  for await (const bytes of body) {
    start = Buffer.concat([start, bytes]).subarray(0, MAX_QUOTED_BYTES);
    if (start.length === MAX_QUOTED_BYTES) break;
  }
  return start.toString('utf8');
}
