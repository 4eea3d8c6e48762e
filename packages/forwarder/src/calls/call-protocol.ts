/**
 * Interface of the codec for the heads of requests and responses. The forwarder works on the decoded
 * form; an adapter defines which headers carry the request id, deadline, API key and prompt.
 */
import type {
  AnswerHead,
  Endpoint,
  PauseRequest,
  Prompt,
  RequestLimit,
} from '@poplarpick/decisions';

/** Decoded head of a caller's request. */
export interface CallHead {
  method: string;
  /** Path and query as the caller sent them. */
  target: string;
  host: string;
  /** Identifies one attempt of the caller; a response must carry the same id. */
  requestId: string;
  /** Time that the caller allows for the request, in ms. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  prompt: Prompt | undefined;
  /** Id of the last event that the caller has received, when it resumes a stream. */
  lastEventId: string | undefined;
  /**
   * Id of the request that brought the first event of the stream that the caller resumes; undefined if it names
   * none, or resumes no stream.
   */
  resumedRequestId: string | undefined;
  /** Alternating names and values of the headers to forward, without those that the forwarder sets. */
  forwardedHeaders: readonly string[];
}

/** Decoded head of the forwarder's request to an endpoint. */
export interface AttemptHead {
  call: CallHead;
  endpoint: Endpoint;
  /** Time until the call's deadline, in ms. */
  remainingMs: number | undefined;
  workspace: string | undefined;
  /** Id of the event after which a stream resumes; overrides the caller's. */
  resumeAfter: number | undefined;
  /** `IP:port` of the endpoint from which the endpoint copies what it hasn't cached of the prompt. */
  fetchFrom?: string | undefined;
}

/** Decoded head of an endpoint's response. */
export interface ResponseHead extends AnswerHead {
  /** Id of the request that it answers; undefined if the response carries none. */
  requestId: string | undefined;
  /** The endpoint says that it is about to stop: it finishes its requests and wants no new ones. */
  isDraining: boolean;
  /** The endpoint refused the request and wants no others from this router for a while. */
  pause: PauseRequest | undefined;
  /** The most requests that the endpoint takes for now; undefined if it names no limit. */
  limit: RequestLimit | undefined;
  /** Another endpoint than the one that was called has answered. */
  isMisdirected: boolean;
  /** Alternating names and values of the headers to forward. */
  forwardedHeaders: readonly string[];
}

/** Head of a request that asks the process of an endpoint about itself. */
export interface ProcessQuestionHead {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
}

/** Decodes and encodes heads. */
export abstract class CallProtocol {
  /** Decodes the head of a caller's request. Throws a `RequestError` when it is invalid. */
  abstract decodeCall(method: string, target: string, rawHeaders: readonly string[]): CallHead;

  /** Decodes the request id, even of a head that is otherwise invalid. */
  abstract decodeRequestId(rawHeaders: readonly string[]): string | undefined;

  /** Encodes a request id as alternating header names and values, as a caller sends it. */
  abstract encodeRequestId(requestId: string): string[];

  /** Encodes the head of a request to an endpoint as alternating header names and values. */
  abstract encodeAttempt(attempt: AttemptHead): string[];

  /** Encodes the request that asks the process of an endpoint when it started. */
  abstract encodeProcessQuestion(): ProcessQuestionHead;

  /** Decodes the answer to it: the start in ms since the Unix epoch; undefined if it names none. */
  abstract decodeProcessStart(body: Buffer): number | undefined;

  /** Decodes the head of an endpoint's response. */
  abstract decodeResponse(status: number, rawHeaders: readonly string[]): ResponseHead;
}
