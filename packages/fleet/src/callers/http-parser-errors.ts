/**
 * Responses to requests that the HTTP parser rejects: headers over the limit, a request that arrives
 * too slowly, or bytes that are not valid HTTP. They have the same shape as all other errors.
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { v7 as makeUuid } from 'uuid';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { createErrorBody, REQUEST_ID_HEADER } from './api-errors.ts';
import { createInvalidRequestError } from './request-headers.ts';

/** Error codes of Node's HTTP parser and server. */
const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Writes the error response directly to the socket and closes it, since the start of the next request
 * on the connection can no longer be determined.
 */
export function sendHttpParserError(socket: Duplex, error: NodeJS.ErrnoException): void {
  const requestError = mapHttpParserError(error);
  const requestId = makeUuid();
  const body = JSON.stringify(createErrorBody(requestError, requestId));
  const head = [
    `HTTP/1.1 ${requestError.status} ${STATUS_CODES[requestError.status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${REQUEST_ID_HEADER}: ${requestId}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** Maps an error of the HTTP parser to the error that the caller receives. */
export function mapHttpParserError(error: NodeJS.ErrnoException): RequestError {
  if (error.code === HEADER_OVERFLOW) {
    return new RequestError('the headers are over the limit', {
      code: ErrorCode.HeadersTooLarge,
      verdict: Verdict.NotRun,
      limit: 'header_limit_bytes',
    });
  }
  if (error.code === REQUEST_TIMEOUT) {
    return new RequestError('the request did not arrive in time', {
      code: ErrorCode.ReceiveTimeout,
      verdict: Verdict.NotRun,
      limit: 'receive_timeout_ms',
    });
  }
  return createInvalidRequestError('the request is not valid HTTP', error);
}
