/** What a failed exchange with an endpoint says about the request. */
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Errors after which the endpoint cannot have seen the request: no connection came about. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Turns an error of the HTTP client into a `RequestError` with a truthful verdict. */
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
