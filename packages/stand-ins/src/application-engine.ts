/**
 * Stand-in of an application engine: a payment run or booking service. It counts the runs of each
 * business key, so that a double run shows. The key is the JSON body's `key`.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { readText, StandIn } from './stand-in.ts';
import type { StandInRoute } from './stand-in.ts';

/** Options of an `ApplicationEngine`. */
export interface ApplicationEngineOptions {
  /** Time that a call takes. */
  workMs?: number;
}

/** How often each business key has run. */
export type RunCounts = Record<string, number>;

const DEFAULT_WORK_MS = 20;

/** Runs calls and counts them. */
export class ApplicationEngine extends StandIn {
  private readonly workMs: number;
  private readonly runs = new Map<string, number>();
  private active = 0;
  private readonly requests = new Set<string>();

  constructor(options: ApplicationEngineOptions = {}) {
    super('application-engine');
    this.workMs = options.workMs ?? DEFAULT_WORK_MS;
  }

  /** Calls that run now. */
  get running(): number {
    return this.active;
  }

  /** Runs of each business key so far. */
  get runCounts(): RunCounts {
    return Object.fromEntries(this.runs);
  }

  /** Whether a call with this request id has run. */
  hasRun(requestId: string): boolean {
    return this.requests.has(requestId);
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
          sendJson(response, 200, { running: this.active, waiting: 0, stepMs: 0 }),
      },
      { pattern: '* /*path', handler: (request, response) => this.work(request, response) },
    ];
  }

  private async work(request: GatewayRequest, response: ServerResponse): Promise<void> {
    const key = readBusinessKey(await readText(request));
    const run = (this.runs.get(key) ?? 0) + 1;
    this.runs.set(key, run);
    this.active += 1;
    this.requests.add(String(request.headers['x-request-id'] ?? ''));
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    this.active -= 1;
    sendJson(response, 200, { key, run, method: request.method, path: request.originalUrl });
  }
}

function readBusinessKey(text: string): string {
  try {
    const body = JSON.parse(text) as { key?: unknown } | null;
    return typeof body?.key === 'string' ? body.key : '';
  } catch {
    return '';
  }
}
