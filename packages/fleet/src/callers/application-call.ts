/**
 * `ANY /apps/<service>/<path>`: calls to application services, forwarded unchanged. The first frame of
 * an answer holds its status and headers as JSON; the other frames are the body.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import { EndpointKind, isNonIdempotentCall, MAX_HTTP_STATUS } from '@poplarpick/decisions';
import type { ServiceConfiguration } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { GatewayRequest } from '../http-gateway.ts';
import type { Header, Job } from '../messages.ts';
import { AnswerSink } from '../router/answer-sink.ts';
import { REQUEST_ID_HEADER, sendRequestError } from './api-errors.ts';
import { writeBounded } from './bounded-write.ts';
import {
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  createInvalidRequestError,
  RUN_ONCE_HEADER,
  readRunOnceFlag,
} from './request-headers.ts';

/** Hop-by-hop headers, and headers that the router itself evaluates. */
const NON_FORWARDED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  RUN_ONCE_HEADER,
]);

/** Schema of the first frame of an application's answer: its status and headers. */
export const answerHeadSchema = z.object({
  status: z.int().min(200).max(MAX_HTTP_STATUS),
  headers: z.array(z.object({ name: z.string(), value: z.string() })),
});

/** Service and path that a call is addressed to. */
export interface ApplicationTarget {
  service: string;
  /** Path including the query string. */
  path: string;
}

/** Parses the target of a call from its URL. Throws `invalid_request` if the URL is malformed. */
export function parseApplicationTarget(url: string): ApplicationTarget {
  const match = /^\/apps\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(url);
  const service = match?.[1];
  if (service === undefined)
    throw createInvalidRequestError('the path must be /apps/<service>/<path>');
  return { service, path: `${match?.[2] ?? '/'}${match?.[3] ?? ''}` };
}

/** Options of `createApplicationJob`. */
export interface ApplicationJobOptions {
  request: GatewayRequest;
  service: ServiceConfiguration;
  path: string;
  workspace: string;
  body: Buffer;
  idempotencyKey: string | undefined;
}

/**
 * Creates the job of a call. It is repeatable unless the configuration declares the call
 * non-idempotent or the caller sends an idempotency key or the run-once header.
 */
export function createApplicationJob(options: ApplicationJobOptions): Job {
  const { request, service, path, workspace, body, idempotencyKey } = options;
  const method = request.method ?? 'GET';
  const mustRunOnce =
    isNonIdempotentCall(service, method, path) ||
    readRunOnceFlag(request.headers) ||
    idempotencyKey !== undefined;
  return {
    kind: EndpointKind.Application,
    pool: service.name,
    workspace,
    method,
    path,
    headers: readForwardableHeaders(request),
    body,
    repeatable: !mustRunOnce,
    idempotencyKey,
  };
}

/** Forwards an application's answer to the caller. */
export class ApplicationSink extends AnswerSink {
  private readonly response: ServerResponse;
  private readonly requestId: string;

  constructor(response: ServerResponse, requestId: string) {
    super();
    this.response = response;
    this.requestId = requestId;
  }

  override deliver(data: Buffer): void {
    if (this.response.headersSent) {
      writeBounded(this.response, data);
      return;
    }
    const head = answerHeadSchema.parse(JSON.parse(data.toString('utf8')));
    // All are checked first, so that none stays in the error that replaces an answer that can't be passed on.
    for (const { name, value } of head.headers) {
      validateHeaderName(name);
      validateHeaderValue(name, value);
    }
    for (const { name, value } of head.headers) this.response.appendHeader(name, value);
    this.response.setHeader(REQUEST_ID_HEADER, this.requestId);
    this.response.writeHead(head.status);
    this.response.flushHeaders();
  }

  override finish(): void {
    this.response.end();
  }

  /**
   * Sends the error as the response. Once the head is sent, an aborted connection is the only way to
   * signal that the body is incomplete.
   */
  override fail(error: RequestError): void {
    sendRequestError(this.response, error, this.requestId);
  }
}

/** Converts a raw header list (alternating names and values) and drops `NON_FORWARDED_HEADERS`. */
export function filterForwardableHeaders(rawHeaders: readonly string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase() ?? '';
    if (!NON_FORWARDED_HEADERS.has(name))
      headers.push({ name, value: rawHeaders[index + 1] ?? '' });
  }
  return headers;
}

function readForwardableHeaders(request: GatewayRequest): Header[] {
  return filterForwardableHeaders(request.rawHeaders);
}
