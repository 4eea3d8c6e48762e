/** The ways in which the stand-in for a platform engine answers a request, sound and faulty ones. */

/** How the engine treats a request. */
export enum EngineBehaviour {
  /** Sends a complete answer. */
  CompleteAnswer = 'whole',
  /** Executes the request and resets the connection before answering. */
  ResetBeforeAnswer = 'reset-before-answer',
  /** Resets the connection in the middle of the answer. */
  ResetWithinAnswer = 'reset-within-answer',
  /** Answers without `Content-Length` and resets the connection before the end. */
  UnframedReset = 'unframed-reset',
  /** Answers without `Content-Length` and closes the connection normally. */
  Unframed = 'unframed',
  /** Sends a part of an answer without `Content-Length`, then ends as a killed process does. */
  UnframedEnd = 'unframed-end',
  /** Sends a stream without `Content-Length` or chunks, and closes the connection normally after it. */
  UnframedStream = 'unframed-stream',
  /** Executes the request and answers with status 500. */
  Error = 'error',
  /** Refuses the request with status 503 without executing it. */
  Refuse = 'refuse',
  /** Refuses the request with the attempt id of another request. */
  RefuseWithOtherId = 'refuse-with-other-id',
  /** Refuses the request without an attempt id. */
  RefuseWithoutId = 'refuse-without-id',
  /** Refuses the request without `Content-Length`, and closes the connection normally after a while. */
  UnframedRefusal = 'unframed-refusal',
  /** Refuses the request without `Content-Length`, and resets the connection after a while. */
  UnframedRefusalReset = 'unframed-refusal-reset',
  /**
   * Writes the latest refusal on the connection once more, then executes the request and answers it. Sends a
   * complete answer alone on a connection without a refusal.
   */
  RepeatedRefusal = 'repeated-refusal',
  /** Answers with the attempt id of another request. */
  WrongAttemptId = 'foreign',
  /** Sends bytes that are not an HTTP response. */
  Garbage = 'garbage',
  /** Sends a second, unsolicited answer after the first. */
  ExtraAnswer = 'extra',
  /** Never answers. */
  NoAnswer = 'mute',
}

/** Behaviours that send a whole stream. */
export const STREAMS = new Set([EngineBehaviour.CompleteAnswer, EngineBehaviour.UnframedStream]);

/** Behaviours that refuse the request with a complete answer. */
export const REFUSALS = new Set([
  EngineBehaviour.Refuse,
  EngineBehaviour.RefuseWithOtherId,
  EngineBehaviour.RefuseWithoutId,
]);

/** Behaviours that refuse it with an answer that ends with its connection. */
export const UNFRAMED_REFUSALS = new Set([
  EngineBehaviour.UnframedRefusal,
  EngineBehaviour.UnframedRefusalReset,
]);
