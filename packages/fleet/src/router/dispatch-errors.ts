/** The failures that a router itself finds, as its callers are told of them. */
import { computeUnfinishedVerdict } from '@poplarpick/decisions';
import type { LossDecision, RequestState } from '@poplarpick/decisions';
import { describeError, ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { DEADLINE_HEADER } from '../callers/request-headers.ts';

/** Time after which a caller may ask again whose key is pinned to an endpoint that is away. */
const PINNED_ENDPOINT_RETRY_AFTER_SECONDS = 2;

/** The caller's deadline has passed. */
export function createDeadlineError(state: RequestState): RequestError {
  return new RequestError('the deadline has passed', {
    code: ErrorCode.DeadlineExceeded,
    verdict: computeUnfinishedVerdict(state),
    limit: DEADLINE_HEADER,
  });
}

/** The only endpoint that may run the request has been away too long. */
export function createPinnedEndpointError(state: RequestState, endpoint: string): RequestError {
  return new RequestError(`endpoint ${endpoint}, to which the key is pinned, is away`, {
    code: ErrorCode.NoEndpoint,
    verdict: computeUnfinishedVerdict(state),
    retryAfterSeconds: PINNED_ENDPOINT_RETRY_AFTER_SECONDS,
  });
}

/** The attempt was lost and there is to be no other. */
export function createConnectionLostError({ code, verdict }: LossDecision): RequestError {
  return new RequestError('the connection to the endpoint was lost', { code, verdict });
}

/** The frames that arrived are not those that the sidecar sent. */
export function createIncompleteAnswerError(): RequestError {
  const options = { code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran };
  return new RequestError('the answer is incomplete', options);
}

/** A frame is no part of an answer of this kind. */
export function createUndeliverableAnswerError(error: unknown): RequestError {
  const options = { code: ErrorCode.EndpointFailed, verdict: Verdict.Ran };
  return new RequestError(
    `the endpoint's answer cannot be passed on: ${describeError(error)}`,
    options,
  );
}
