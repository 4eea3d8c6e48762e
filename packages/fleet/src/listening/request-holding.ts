/** What a request costs besides its body, and how it is refused if the process has no memory for it. */
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Memory of a request without its body, in bytes: its head, its response, and what serves it. */
export const REQUEST_BYTES = 8_192;

/**
 * Value of `Retry-After` of such a refusal, in seconds: what stalls gives way within a second, and another router may have
 * room at once.
 */
const RETRY_AFTER_S = 0.5;

/** The refusal of a request for which there is no memory. */
export function createNoMemoryError(): RequestError {
  return new RequestError('the router holds as much as it can', {
    code: ErrorCode.Overloaded,
    verdict: Verdict.NotRun,
    retryAfterSeconds: RETRY_AFTER_S,
  });
}

/** The refusal of a request whose body isn't whole when its time is over. */
export function createLateBodyError(): RequestError {
  return new RequestError('the time for the request was over before its body was whole', {
    code: ErrorCode.ReceiveTimeout,
    verdict: Verdict.NotRun,
  });
}
