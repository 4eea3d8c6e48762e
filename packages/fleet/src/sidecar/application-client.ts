/**
 * Client of an application engine, over plain HTTP. The first frame of an answer holds the status and
 * headers as JSON; the other frames hold chunks of the body. The cost of a call is the time that it
 * took at the endpoint, in milliseconds.
 */
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { Clock } from '@poplarpick/kernel';
import { filterForwardableHeaders } from '../callers/application-call.ts';
import { ONE_REQUEST_PER_CONNECTION } from '../engine-connections.ts';
import type { Job } from '../messages.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { toEndpointError } from './endpoint-error.ts';
import type { EndpointClientOptions } from './model-engine-client.ts';

/** Timeout for the response headers, and for each further chunk of the body. */
const PART_TIMEOUT_MS = 60_000;

/** Options of an `ApplicationClient`. */
export interface ApplicationClientOptions extends EndpointClientOptions {
  clock: Clock;
}

/** Runs calls at an application engine. */
export class ApplicationClient extends EndpointClient {
  private readonly baseUrl: string;
  private readonly clock: Clock;
  private readonly agent = new Agent({
    headersTimeout: PART_TIMEOUT_MS,
    bodyTimeout: PART_TIMEOUT_MS,
    ...ONE_REQUEST_PER_CONNECTION,
  });

  constructor(options: ApplicationClientOptions) {
    super();
    this.baseUrl = options.baseUrl.replace(/\/$/, '');
    this.clock = options.clock;
  }

  override run(requestId: string, job: Job, listener: RunListener): Run {
    const abort = new AbortController();
    this.call(requestId, job, listener, abort.signal).catch((error: unknown) => {
      if (!abort.signal.aborted) listener.onFailure(toEndpointError(error));
    });
    const cancel = async (): Promise<boolean> => {
      abort.abort();
      return Promise.resolve(false);
    };
    return { cancel };
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(
    requestId: string,
    job: Job,
    listener: RunListener,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAt = this.clock.monotonic();
    const headers = job.headers.flatMap(({ name, value }) => [name, value]);
    if (job.idempotencyKey !== undefined) headers.push('idempotency-key', job.idempotencyKey);
    const response = await request(this.baseUrl + job.path, {
      method: job.method as Dispatcher.HttpMethod,
      headers: [...headers, 'x-request-id', requestId],
      body: job.body.length > 0 ? job.body : null,
      dispatcher: this.agent,
      responseHeaders: 'raw',
      signal,
    });
    const head = {
      status: response.statusCode,
      headers: filterForwardableHeaders(toHeaderList(response.headers)),
    };
    listener.onFrame(Buffer.from(JSON.stringify(head)), 0);
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      if (signal.aborted) return;
      listener.onFrame(bytes, 0);
    }
    if (!signal.aborted) listener.onEnd(this.clock.monotonic() - startedAt);
  }
}

/** With `responseHeaders: 'raw'`, undici returns a list of names and values, contrary to its type. */
function toHeaderList(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map(String) : [];
}
