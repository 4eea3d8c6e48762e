/** Request headers with which callers control how a request is run. */
import type { IncomingHttpHeaders } from 'node:http';
import { validate, version } from 'uuid';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Header with the deadline for the complete answer, in milliseconds. */
export const DEADLINE_HEADER = 'x-request-timeout-ms';

/** Header with a UUIDv7; requests with the same idempotency key run at most once in total. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Header that, if `true`, forbids the router to repeat a request that has no idempotency key. */
export const RUN_ONCE_HEADER = 'x-run-once';

const MAX_DEADLINE_MS = 3_600_000;
const IDEMPOTENCY_KEY_VERSION = 7;

/** Reads the caller's deadline, or returns the default. Throws `invalid_request` if it is invalid. */
export function readDeadlineMs(headers: IncomingHttpHeaders, defaultMs: number): number {
  const value = headers[DEADLINE_HEADER];
  if (value === undefined) return defaultMs;
  const deadlineMs = Number(value);
  if (!Number.isInteger(deadlineMs) || deadlineMs <= 0 || deadlineMs > MAX_DEADLINE_MS) {
    throw createInvalidRequestError(
      `${DEADLINE_HEADER} must be a whole number from 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  return deadlineMs;
}

/** Reads the caller's idempotency key in lower case. Throws `invalid_request` if it is no UUIDv7. */
export function readIdempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = headers[IDEMPOTENCY_KEY_HEADER];
  if (value === undefined) return undefined;
  if (typeof value !== 'string' || !validate(value) || version(value) !== IDEMPOTENCY_KEY_VERSION) {
    throw createInvalidRequestError(`${IDEMPOTENCY_KEY_HEADER} must be one UUIDv7`);
  }
  return value.toLowerCase();
}

/** Whether the caller forbids running the request more than once. */
export function readRunOnceFlag(headers: IncomingHttpHeaders): boolean {
  return headers[RUN_ONCE_HEADER] === 'true';
}

/** Creates the error for a malformed request. */
export function createInvalidRequestError(message: string, cause?: unknown): RequestError {
  return new RequestError(message, {
    code: ErrorCode.InvalidRequest,
    verdict: Verdict.NotRun,
    cause,
  });
}
