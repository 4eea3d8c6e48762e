/**
 * Error responses of the callers' interface. All have the same shape, compatible with OpenAI clients:
 * `{ "error": { message, type, param, code, verdict, request_id, limit? } }`.
 */
import type { ServerResponse } from 'node:http';
import type { RequestError } from '@poplarpick/kernel';
import { sendJson } from '../http-gateway.ts';
import { breakOff } from '../break-off.ts';

/** JSON body of an error response. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    param: null;
    code: string;
    verdict: string;
    request_id: string;
    limit?: string;
  };
}

/** Response header that carries the request id. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Creates the body of an error response. */
export function createErrorBody(error: RequestError, requestId: string): ErrorBody {
  return {
    error: {
      message: error.message,
      type: getErrorType(error.status),
      param: null,
      code: error.code,
      verdict: error.verdict,
      request_id: requestId,
      ...(error.limit === undefined ? {} : { limit: error.limit }),
    },
  };
}

/**
 * Sends an error as the complete response. If the response has already started, aborts the connection
 * instead, so that the caller sees that the answer is incomplete.
 */
export function sendRequestError(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
): void {
  if (response.headersSent || response.destroyed) {
    breakOff(response);
    return;
  }
  response.setHeader(REQUEST_ID_HEADER, requestId);
  if (error.retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', String(Math.ceil(error.retryAfterSeconds)));
  }
  sendJson(response, error.status, createErrorBody(error, requestId));
}

function getErrorType(status: number): string {
  if (status === 401) return 'authentication_error';
  if (status === 429) return 'rate_limit_error';
  return status < 500 ? 'invalid_request_error' : 'server_error';
}
