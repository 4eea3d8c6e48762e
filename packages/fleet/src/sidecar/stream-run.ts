/**
 * One answer streamed by a model engine. It can be suspended, which halts it at the engine, and
 * resumed from the first event that has not arrived.
 */
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { ChunkStream } from './chunk-stream.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { toEndpointError } from './endpoint-error.ts';

/** Time within which the engine must confirm that it halted or ended a stream. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Breaks in a row without a new event after which a stream is given up. */
const IDLE_BREAK_LIMIT = 5;

/** Time before a broken stream is opened again, for each break without a new event. */
const REOPEN_DELAY_MS = 100;

/** Options of a `StreamRun`. */
export interface StreamRunOptions {
  baseUrl: string;
  dispatcher: Dispatcher;
  requestId: string;
  listener: RunListener;
}

/** The engine's answer where it has halted or ended the stream; a stream that it did not know may yet start. */
const stopped = z.union([
  z.object({ cancelled: z.literal(true) }),
  z.object({ suspended: z.literal(true) }),
]);

/** A stream that closed without its end mark. */
class BrokenStreamError extends Error {
  constructor() {
    super('the stream closed without its end mark');
    this.name = 'BrokenStreamError';
  }
}

type StreamResponse = Dispatcher.ResponseData;

/** A stream at the engine. */
export class StreamRun implements Run {
  private readonly options: StreamRunOptions;
  private readonly stream: ChunkStream;
  private connection = new AbortController();
  private suspended = false;
  /** Settles once the engine has answered the latest start or resumption. */
  private opening: Promise<unknown> = Promise.resolve();
  private over = false;
  /** Whether the engine has begun to answer, so that the stream can be opened again. */
  private begun = false;
  private idleBreaks = 0;

  constructor(options: StreamRunOptions) {
    this.options = options;
    this.stream = new ChunkStream(options.listener);
  }

  /** Hands the job to the engine. */
  start(job: Job): void {
    const { baseUrl, dispatcher, requestId } = this.options;
    const { signal } = this.connection;
    this.follow(
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
    this.over = true;
    this.connection.abort();
    return this.control('DELETE', '');
  }

  async suspend(): Promise<boolean> {
    // A resumption still on its way would overtake the suspension and set the stream going unseen.
    await this.opening;
    if (this.over) return false;
    this.suspended = await this.control('POST', '/suspend');
    if (this.suspended) this.connection.abort();
    return this.suspended;
  }

  resume(): void {
    if (!this.suspended || this.over) return;
    this.suspended = false;
    this.reopen();
  }

  /** Reads on from the first event that has not arrived. */
  private reopen(): void {
    this.connection = new AbortController();
    this.stream.discardPartialEvent();
    const { signal } = this.connection;
    const { dispatcher } = this.options;
    const url = `${this.url()}?from=${this.stream.eventCount}`;
    this.follow(request(url, { dispatcher, signal }).then(requireStream), signal);
  }

  private follow(response: Promise<StreamResponse>, signal: AbortSignal): void {
    const before = this.stream.eventCount;
    this.opening = response.catch(() => undefined);
    this.read(response, signal).catch((error: unknown) => {
      if (this.over || signal.aborted) return;
      this.idleBreaks = this.stream.eventCount > before ? 0 : this.idleBreaks + 1;
      if (this.begun && isBroken(error) && this.idleBreaks <= IDLE_BREAK_LIMIT) this.reopenLater();
      else this.fail(error);
    });
  }

  private reopenLater(): void {
    const { signal } = this.connection;
    setTimeout(() => {
      if (!this.over && !this.suspended && !signal.aborted) this.reopen();
    }, this.idleBreaks * REOPEN_DELAY_MS);
  }

  private fail(error: unknown): void {
    this.over = true;
    // The engine lets a stream that lost its reader run on.
    void this.control('DELETE', '');
    if (this.begun && isBroken(error)) this.stream.finish();
    else this.options.listener.onFailure(toEndpointError(error));
  }

  private async read(pending: Promise<StreamResponse>, signal: AbortSignal): Promise<void> {
    const response = await pending;
    if (response.statusCode !== 200)
      throw await refusedByEngine(response.statusCode, response.body);
    this.begun = true;
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      if (signal.aborted) return;
      this.stream.push(bytes);
    }
    if (signal.aborted) return;
    if (!this.stream.hasEnded) throw new BrokenStreamError();
    this.over = true;
    this.stream.finish();
  }

  private async control(method: Dispatcher.HttpMethod, action: string): Promise<boolean> {
    try {
      const response = await request(this.url() + action, {
        method,
        dispatcher: this.options.dispatcher,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return response.statusCode === 200 && stopped.safeParse(JSON.parse(text)).success;
    } catch {
      return false;
    }
  }

  private url(): string {
    return `${this.options.baseUrl}/v1/streams/${encodeURIComponent(this.options.requestId)}`;
  }
}

/** Whether a stream broke on its way, so that it can be read on, rather than ended with garbage. */
function isBroken(error: unknown): boolean {
  if (error instanceof RequestError) return false;
  return error instanceof BrokenStreamError || (error instanceof Error && 'code' in error);
}

/** An engine that has restarted knows a suspended stream no more. */
async function requireStream(response: StreamResponse): Promise<StreamResponse> {
  if (response.statusCode === 200) return response;
  await response.body.dump();
  const message = `the engine lost the stream: status ${response.statusCode}`;
  throw new RequestError(message, { code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran });
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
