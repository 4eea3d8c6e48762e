/** Errors that the dispatcher itself detects and returns to callers. */
import { computeUnfinishedVerdict } from '@poplarpick/decisions';
import type { LossDecision, RequestState } from '@poplarpick/decisions';
import { describeError, ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { DEADLINE_HEADER } from '../callers/request-headers.ts';

/** Value of `Retry-After` if the endpoint to which the idempotency key is pinned is unavailable. */
const PINNED_ENDPOINT_RETRY_AFTER_SECONDS = 2;

/** Error for a request whose deadline has passed. */
export function createDeadlineError(state: RequestState): RequestError {
  return new RequestError('the deadline has passed', {
    code: ErrorCode.DeadlineExceeded,
    verdict: computeUnfinishedVerdict(state),
    limit: DEADLINE_HEADER,
  });
}

/** Error for a request whose pinned endpoint has been unavailable for too long. */
export function createPinnedEndpointError(state: RequestState, endpoint: string): RequestError {
  return new RequestError(`endpoint ${endpoint}, to which the key is pinned, is away`, {
    code: ErrorCode.NoEndpoint,
    verdict: computeUnfinishedVerdict(state),
    retryAfterSeconds: PINNED_ENDPOINT_RETRY_AFTER_SECONDS,
  });
}

/** Error for a request whose attempt was lost and which is not retried. */
export function createConnectionLostError({ code, verdict }: LossDecision): RequestError {
  return new RequestError('the connection to the endpoint was lost', { code, verdict });
}

/** Error for an answer whose received frames differ from those that the sidecar sent. */
export function createIncompleteAnswerError(): RequestError {
  const options = { code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran };
  return new RequestError('the answer is incomplete', options);
}

/** Error for a frame that the caller's answer sink cannot parse or write. */
export function createUndeliverableAnswerError(error: unknown): RequestError {
  const options = { code: ErrorCode.EndpointFailed, verdict: Verdict.Ran };
  return new RequestError(
    `the endpoint's answer cannot be passed on: ${describeError(error)}`,
    options,
  );
}
