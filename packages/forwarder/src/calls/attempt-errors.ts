/** Errors of attempts that have failed without a failure of their connection. */
import { AnswerFault } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { ResponseHead } from './call-protocol.ts';

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

function createRefusalError({ status }: ResponseHead): RequestError {
  return new RequestError(`the endpoint refused with ${status}`, {
    code: ErrorCode.QueueFull,
    verdict: Verdict.NotRun,
  });
}
