/** Headers by which callers say how a request is to be run. */
import type { IncomingHttpHeaders } from 'node:http';
import { validate, version } from 'uuid';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Time in milliseconds within which the caller wants the whole answer. */
export const DEADLINE_HEADER = 'x-request-timeout-ms';

/** A UUIDv7 under which a request runs at most once, however often it is sent. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** `true` for a request that must not run twice though it has no idempotency key. */
export const RUN_ONCE_HEADER = 'x-run-once';

const MAX_DEADLINE_MS = 3_600_000;
const IDEMPOTENCY_KEY_VERSION = 7;

/** The caller's deadline, or the default. Throws `invalid_request` where the header is not a number. */
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

/** The caller's idempotency key. Throws `invalid_request` where it is no UUIDv7. */
export function readIdempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = headers[IDEMPOTENCY_KEY_HEADER];
  if (value === undefined) return undefined;
  if (typeof value !== 'string' || !validate(value) || version(value) !== IDEMPOTENCY_KEY_VERSION) {
    throw createInvalidRequestError(`${IDEMPOTENCY_KEY_HEADER} must be one UUIDv7`);
  }
  return value.toLowerCase();
}

/** Whether the caller says that the request must not run twice. */
export function readRunOnceFlag(headers: IncomingHttpHeaders): boolean {
  return headers[RUN_ONCE_HEADER] === 'true';
}

/** A refusal of a request that is not of the documented form. */
export function createInvalidRequestError(message: string, cause?: unknown): RequestError {
  return new RequestError(message, {
    code: ErrorCode.InvalidRequest,
    verdict: Verdict.NotRun,
    cause,
  });
}
