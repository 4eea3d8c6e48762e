/**
 * How calls are written on the wire: which headers carry the id of a request, its deadline, its key
 * and its prompt. The forwarder works on the decoded form; an adapter supplies the names.
 */
import type { Endpoint, Prompt } from '@poplarpick/decisions';

/** A request of a caller, as its head tells it. */
export interface CallHead {
  method: string;
  /** Path and query, as sent. */
  target: string;
  host: string;
  /** Names one attempt of the caller. */
  requestId: string;
  /** Time that the caller waits, in ms. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller already has, where it goes on with a stream. */
  lastEventId: string | undefined;
  /** Header names and values to pass on, in turns; without those that the forwarder sets itself. */
  forwardedHeaders: readonly string[];
}

/** What the forwarder sets on a request to an endpoint. */
export interface AttemptHead {
  call: CallHead;
  endpoint: Endpoint;
  /** Time that is left, in ms. */
  remainingMs: number | undefined;
  workspace: string | undefined;
  /** Goes on after this event; overrides what the caller sent. */
  resumeAfter: number | undefined;
}

/** What the head of an endpoint's answer tells. */
export interface ResponseHead {
  status: number;
  /** The request that it answers; undefined where it doesn't say. */
  requestId: string | undefined;
  /** The endpoint states that it has not run the request. */
  isNotRun: boolean;
  isEventStream: boolean;
  /** The body's end is marked; otherwise the answer ends with its connection. */
  isFramed: boolean;
  /** Header names and values to pass on, in turns. */
  forwardedHeaders: readonly string[];
}

/** Reads and writes heads. */
export abstract class CallProtocol {
  /** Decodes a caller's request. Throws a `RequestError` where it can't be read. */
  abstract decodeCall(method: string, target: string, rawHeaders: readonly string[]): CallHead;

  /** The id of a request, also of one that can't be read otherwise. */
  abstract decodeRequestId(rawHeaders: readonly string[]): string | undefined;

  /** Header names and values, in turns, of a request to an endpoint. */
  abstract encodeAttempt(attempt: AttemptHead): string[];

  /** Decodes the head of an endpoint's answer. */
  abstract decodeResponse(status: number, rawHeaders: readonly string[]): ResponseHead;
}
