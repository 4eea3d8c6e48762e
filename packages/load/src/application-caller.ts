/** A caller of an application service. */
import { Agent, request } from 'undici';
import { CallOutcome } from './chat-caller.ts';

/** What a caller sends. */
export interface ApplicationCall {
  url: string;
  key: string;
  service: string;
  path: string;
  body: unknown;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

/** What a caller got. */
export interface ApplicationResult {
  outcome: CallOutcome;
  status: number;
  body: unknown;
  code: string | undefined;
  verdict: string | undefined;
  requestId: string | undefined;
  totalMs: number;
}

interface ErrorAnswer {
  error?: { code?: string; verdict?: string };
}

const agent = new Agent({ connections: null, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

/** Posts to a service. Never rejects. */
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
    const body = (await response.body.json()) as ErrorAnswer;
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
