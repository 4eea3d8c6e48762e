/**
 * Client of an application engine, over plain HTTP. The first frame of an answer holds the status and
 * headers as JSON; the other frames hold chunks of the body. The cost of a call is the time that it
 * took at the endpoint, in milliseconds.
 */
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { Clock } from '@poplarpick/kernel';
import { filterForwardableHeaders } from '../callers/application-call.ts';
import type { Job } from '../messages.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { toEndpointError } from './endpoint-error.ts';
import { EngineConnection } from './engine-connection.ts';
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
  private readonly connections = new Set<EngineConnection>();

  constructor(options: ApplicationClientOptions) {
    super();
    this.baseUrl = options.baseUrl.replace(/\/$/, '');
    this.clock = options.clock;
  }

  override run(requestId: string, job: Job, listener: RunListener): Run {
    const abort = new AbortController();
    const connection = new EngineConnection({ url: this.baseUrl, partTimeoutMs: PART_TIMEOUT_MS });
    this.connections.add(connection);
    this.call(requestId, job, listener, abort.signal, connection)
      .catch((error: unknown) => {
        if (!abort.signal.aborted) listener.onFailure(toEndpointError(error));
      })
      .finally(() => {
        this.connections.delete(connection);
        void connection.destroy();
      });
    const cancel = async (): Promise<boolean> => {
      abort.abort();
      return Promise.resolve(false);
    };
    return { cancel };
  }

  override async close(): Promise<void> {
    await Promise.all([...this.connections].map((connection) => connection.destroy()));
  }

  private async call(
    requestId: string,
    job: Job,
    listener: RunListener,
    signal: AbortSignal,
    connection: EngineConnection,
  ): Promise<void> {
    const startedAt = this.clock.monotonic();
    const headers = job.headers.flatMap(({ name, value }) => [name, value]);
    if (job.idempotencyKey !== undefined) headers.push('idempotency-key', job.idempotencyKey);
    const response = await request(this.baseUrl + job.path, {
      method: job.method as Dispatcher.HttpMethod,
      headers: [...headers, 'x-request-id', requestId],
      body: job.body.length > 0 ? job.body : null,
      dispatcher: connection.client,
      responseHeaders: 'raw',
      signal,
    });
    const status = response.statusCode;
    const answerHeaders = toHeaderList(response.headers);
    const head = { status, headers: filterForwardableHeaders(answerHeaders) };
    listener.onFrame(Buffer.from(JSON.stringify(head)), 0);
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      if (signal.aborted) return;
      listener.onFrame(bytes, 0);
    }
    await connection.requireEnd({ method: job.method, status, headers: answerHeaders });
    if (!signal.aborted) listener.onEnd(this.clock.monotonic() - startedAt);
  }
}

/** With `responseHeaders: 'raw'`, undici returns a list of names and values, contrary to its type. */
function toHeaderList(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map(String) : [];
}
