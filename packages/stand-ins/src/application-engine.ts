/**
 * Stand-in for an application engine, such as a payment or booking service. It counts the executions
 * per business key, taken from `key` of the JSON body, so that tests can detect duplicate executions.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of an `ApplicationEngine`. */
export interface ApplicationEngineOptions {
  /** Duration of a call, in milliseconds. */
  workMs?: number;
}

/** What the body of a call asks for; anything else in it is ignored. */
interface CallBody {
  key: string;
  /** Bytes by which the answer is padded. */
  paddingBytes: number;
}

/** Number of executions per business key. */
export type RunCounts = Record<string, number>;

const DEFAULT_WORK_MS = 20;

/** Executes calls and counts them by business key. */
export class ApplicationEngine extends StandIn {
  private readonly workMs: number;
  private readonly runsByKey = new Map<string, number>();
  private runningCount = 0;
  private readonly seenRequestIds = new Set<string>();

  constructor(options: ApplicationEngineOptions = {}) {
    super('application-engine');
    this.workMs = options.workMs ?? DEFAULT_WORK_MS;
  }

  /** Number of calls being executed. */
  get running(): number {
    return this.runningCount;
  }

  /** Executions per business key so far. */
  get runCounts(): RunCounts {
    return Object.fromEntries(this.runsByKey);
  }

  /** Whether a call with this request id was executed. */
  hasRun(requestId: string): boolean {
    return this.seenRequestIds.has(requestId);
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /stand-in/record',
        handler: (_request, response) => sendJson(response, 200, this.runCounts),
      },
      {
        pattern: 'GET /v1/load',
        handler: (_request, response) =>
          sendJson(response, 200, { running: this.runningCount, waiting: 0, stepMs: 0 }),
      },
      { pattern: '* /*path', handler: (request, response) => this.handleCall(request, response) },
    ];
  }

  private async handleCall(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const { key, paddingBytes } = readCallBody(await readText(request));
    const run = (this.runsByKey.get(key) ?? 0) + 1;
    this.runsByKey.set(key, run);
    this.runningCount += 1;
    this.seenRequestIds.add(String(request.headers['x-request-id'] ?? ''));
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.runningCount -= 1;
    const { method, originalUrl: path } = request;
    const padding = paddingBytes > 0 ? { padding: '.'.repeat(paddingBytes) } : {};
    sendJson(response, 200, { key, run, method, path, ...padding });
  }
}

function readCallBody(text: string): CallBody {
  try {
    const body = JSON.parse(text) as { key?: unknown; paddingBytes?: unknown } | null;
    const key = typeof body?.key === 'string' ? body.key : '';
    return { key, paddingBytes: Number(body?.paddingBytes ?? 0) };
  } catch {
    return { key: '', paddingBytes: 0 };
  }
}
