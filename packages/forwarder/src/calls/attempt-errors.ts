/** Errors of attempts that have failed without a failure of their connection, and what errors say of endpoints. */
import { AnswerFault } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { ConnectError } from '../endpoints/endpoint-connector.ts';
import type { ResponseHead } from './call-protocol.ts';

/** Codes of failed attempts that say nothing against their endpoints. */
const SOUND_CODES = new Set([
  ErrorCode.QueueFull,
  ErrorCode.StreamNotResumable,
  ErrorCode.Cancelled,
]);

/** The endpoint has said nothing for long, and another one goes on. */
export function createStallError(): RequestError {
  return new RequestError('the stream fell silent', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.MayHaveRun,
  });
}

/**
 * The answer doesn't reach the caller. An endpoint that ends an unframed answer early may have crashed; every other
 * fault is an answer of a running endpoint.
 */
export function createFaultError(head: ResponseHead, fault: AnswerFault): RequestError {
  if (fault === AnswerFault.Refused) return createRefusalError(head);
  const message = `the endpoint answered ${head.status}: ${fault}`;
  const isBrokenOff = fault === AnswerFault.NoEvents && !head.isFramed;
  const code = isBrokenOff ? ErrorCode.IncompleteAnswer : ErrorCode.EndpointFailed;
  return new RequestError(message, { code, verdict: Verdict.MayHaveRun });
}

/** The attempt waited, and may not be sent any more. */
export function createWithheldError(obstacle: string): RequestError {
  const message = `the request may not be sent any more: ${obstacle}`;
  return new RequestError(message, { code: ErrorCode.Cancelled, verdict: Verdict.NotRun });
}

/**
 * Whether an error tells against the endpoint of its attempt: not if that refused it, if it wasn't to get it, or if this
 * router gets what endpoints send late.
 */
export function isEndpointFailure({ code, cause }: RequestError, isLate: boolean): boolean {
  if (isLate && cause instanceof ConnectError && cause.isTimeout) return false;
  return !SOUND_CODES.has(code);
}

function createRefusalError({ status }: ResponseHead): RequestError {
  return new RequestError(`the endpoint refused with ${status}`, {
    code: ErrorCode.QueueFull,
    verdict: Verdict.NotRun,
  });
}
