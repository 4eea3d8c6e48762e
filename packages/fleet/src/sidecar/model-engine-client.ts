/** Client of a model engine, over the OpenAI-compatible streaming protocol. */
import { Agent } from 'undici';
import { ONE_REQUEST_PER_CONNECTION } from '../engine-connections.ts';
import type { Job } from '../messages.ts';
import { EndpointClient } from './endpoint-client.ts';
import type { Run, RunListener } from './endpoint-client.ts';
import { StreamRun } from './stream-run.ts';

export { PROMPT_TOKEN_COST } from './chunk-stream.ts';

/** Timeout for the response headers of an engine. */
const HEADERS_TIMEOUT_MS = 30_000;

/** Time without data after which the client reconnects to the stream. */
const CHUNK_TIMEOUT_MS = 5_000;

/** Options of the client of an endpoint. */
export interface EndpointClientOptions {
  baseUrl: string;
}

/** Runs chat requests at a model engine. */
export class ModelEngineClient extends EndpointClient {
  private readonly baseUrl: string;
  private readonly agent = new Agent({
    headersTimeout: HEADERS_TIMEOUT_MS,
    bodyTimeout: CHUNK_TIMEOUT_MS,
    connections: null,
    ...ONE_REQUEST_PER_CONNECTION,
  });

  constructor(options: EndpointClientOptions) {
    super();
    this.baseUrl = options.baseUrl.replace(/\/$/, '');
  }

  override run(requestId: string, job: Job, listener: RunListener): Run {
    const run = new StreamRun({
      baseUrl: this.baseUrl,
      dispatcher: this.agent,
      requestId,
      listener,
    });
    run.start(job);
    return run;
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }
}
