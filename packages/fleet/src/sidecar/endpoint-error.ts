/** Derives from a failed exchange with an endpoint whether the request may have run. */
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Codes of errors where no connection was made, so the endpoint cannot have received the request. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Converts an HTTP client error to a `RequestError`, with the verdict that the error justifies. */
export function toEndpointError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const verdict = CONNECT_ERROR_CODES.has(code) ? Verdict.NotRun : Verdict.MayHaveRun;
  const reason = error instanceof Error ? error.message : String(error);
  return new RequestError(`the endpoint failed: ${reason}`, {
    code: ErrorCode.EndpointFailed,
    verdict,
    cause: error,
  });
}
