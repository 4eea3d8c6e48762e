/** HTTP client that calls an application service through a router. */
import { Agent, request } from 'undici';
import { CallOutcome } from './chat-caller.ts';

/** A call to an application service. */
export interface ApplicationCall {
  /** Base URL of a router. */
  url: string;
  /** API key of the workspace. */
  key: string;
  service: string;
  path: string;
  body: unknown;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

/** Outcome and answer of a call. */
export interface ApplicationResult {
  outcome: CallOutcome;
  status: number;
  body: unknown;
  /** Code and verdict of a refusal or failure. */
  code: string | undefined;
  verdict: string | undefined;
  requestId: string | undefined;
  /** Duration of the call, in milliseconds. */
  totalMs: number;
}

interface ErrorBody {
  error?: { code?: string; verdict?: string };
}

const agent = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

/** Sends a POST request to a service. Never rejects. */
export async function callApplication(call: ApplicationCall): Promise<ApplicationResult> {
  const startedAt = performance.now();
  try {
    const response = await request(`${call.url}/apps/${call.service}${call.path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${call.key}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      body: JSON.stringify(call.body),
      dispatcher: agent,
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    });
    const body = (await response.body.json()) as ErrorBody;
    return {
      outcome: body.error === undefined ? CallOutcome.Complete : CallOutcome.Refused,
      status: response.statusCode,
      body,
      code: body.error?.code,
      verdict: body.error?.verdict,
      requestId: String(response.headers['x-request-id'] ?? ''),
      totalMs: performance.now() - startedAt,
    };
  } catch {
    const totalMs = performance.now() - startedAt;
    const outcome = CallOutcome.Interrupted;
    return {
      outcome,
      status: 0,
      body: undefined,
      code: undefined,
      verdict: undefined,
      requestId: undefined,
      totalMs,
    };
  }
}
