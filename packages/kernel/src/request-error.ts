/**
 * Errors of requests. Each carries a verdict on whether the request may have been executed, so that
 * the caller can decide whether a retry is safe.
 */

/** Whether a failed request may have been executed by an endpoint. */
export enum Verdict {
  /** No endpoint acted on the request; a retry is safe. */
  NotRun = 'not-run',
  /** The request was sent to an endpoint and its outcome is unknown. */
  MayHaveRun = 'may-have-run',
  /** An endpoint executed the request, but the caller may lack all or part of the answer. */
  Ran = 'ran',
}

/** Stable codes of refusals and failures, sent to callers in `error.code`. */
export enum ErrorCode {
  InvalidRequest = 'invalid_request',
  InvalidApiKey = 'invalid_api_key',
  ModelNotFound = 'model_not_found',
  ServiceNotFound = 'service_not_found',
  PathNotFound = 'path_not_found',
  BodyTooLarge = 'body_too_large',
  HeadersTooLarge = 'headers_too_large',
  ReceiveTimeout = 'receive_timeout',
  QueueFull = 'queue_full',
  DeadlineExceeded = 'deadline_exceeded',
  NoEndpoint = 'no_endpoint',
  Draining = 'draining',
  PromptBlocked = 'prompt_blocked',
  RequestBlocked = 'request_blocked',
  StreamNotResumable = 'stream_not_resumable',
  Overloaded = 'overloaded',
  IdempotencyKeyConflict = 'idempotency_key_conflict',
  IdempotencyKeyExpired = 'idempotency_key_expired',
  EndpointFailed = 'endpoint_failed',
  ConnectionLost = 'connection_lost',
  IncompleteAnswer = 'incomplete_answer',
  Cancelled = 'cancelled',
  InternalError = 'internal_error',
}

/** HTTP status of each code. */
const HTTP_STATUS: Record<ErrorCode, number> = {
  [ErrorCode.InvalidRequest]: 400,
  [ErrorCode.InvalidApiKey]: 401,
  [ErrorCode.ModelNotFound]: 404,
  [ErrorCode.ServiceNotFound]: 404,
  [ErrorCode.PathNotFound]: 404,
  [ErrorCode.BodyTooLarge]: 413,
  [ErrorCode.HeadersTooLarge]: 431,
  [ErrorCode.ReceiveTimeout]: 408,
  [ErrorCode.QueueFull]: 429,
  [ErrorCode.DeadlineExceeded]: 504,
  [ErrorCode.NoEndpoint]: 503,
  [ErrorCode.Draining]: 503,
  [ErrorCode.PromptBlocked]: 503,
  [ErrorCode.RequestBlocked]: 503,
  [ErrorCode.StreamNotResumable]: 503,
  [ErrorCode.Overloaded]: 503,
  [ErrorCode.IdempotencyKeyConflict]: 409,
  [ErrorCode.IdempotencyKeyExpired]: 409,
  [ErrorCode.EndpointFailed]: 502,
  [ErrorCode.ConnectionLost]: 502,
  [ErrorCode.IncompleteAnswer]: 502,
  [ErrorCode.Cancelled]: 499,
  [ErrorCode.InternalError]: 500,
};

/** Options of a `RequestError`. */
export interface RequestErrorOptions {
  code: ErrorCode;
  verdict: Verdict;
  /** Seconds after which the caller may retry; absent where a retry is pointless. */
  retryAfterSeconds?: number | undefined;
  /** Name of the limit that was reached, if one caused the refusal. */
  limit?: string | undefined;
  cause?: unknown;
}

/** A refused or failed request. */
export class RequestError extends Error {
  readonly code: ErrorCode;
  readonly verdict: Verdict;
  readonly retryAfterSeconds: number | undefined;
  readonly limit: string | undefined;

  constructor(message: string, options: RequestErrorOptions) {
    super(message, { cause: options.cause });
    this.name = 'RequestError';
    this.code = options.code;
    this.verdict = options.verdict;
    this.retryAfterSeconds = options.retryAfterSeconds;
    this.limit = options.limit;
  }

  /** HTTP status for the error code. */
  get status(): number {
    return HTTP_STATUS[this.code];
  }
}

/** Wraps any thrown value in a `RequestError` with this verdict; returns a `RequestError` unchanged. */
export function toRequestError(error: unknown, verdict: Verdict): RequestError {
  if (error instanceof RequestError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new RequestError(message, { code: ErrorCode.InternalError, verdict, cause: error });
}
