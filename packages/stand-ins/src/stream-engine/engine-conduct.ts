/** How a `StreamEngine` answers: soundly, or in one of the ways of a faulty engine. */

/** How the bytes of a body are delimited. */
export enum AnswerFraming {
  Chunked = 'chunked',
  Length = 'length',
  /** The answer ends with its connection. */
  Unframed = 'unframed',
}

/** What an engine does with a request. */
export enum EngineConduct {
  Sound = 'sound',
  /** Resets the connection within an event or a body. */
  Reset = 'reset',
  /** Closes the connection in order within a framed event or body. */
  Close = 'close',
  /** Closes the connection in order within the head. */
  CloseInHead = 'close-in-head',
  /** Sends another answer after the answer, with the id of another request. */
  ExtraAnswer = 'extra-answer',
  /** Answers with neither a length nor chunks. */
  Unframed = 'unframed',
  /** Begins to answer before it has read the body. */
  Early = 'early',
  /** Answers with status 500 and a text. */
  Error = 'error',
  /** Answers with status 500 and a text without a seal. */
  ErrorWithoutSeal = 'error-without-seal',
  /** Answers a take-up with status 200 and a body that is no stream. */
  NoStream = 'no-stream',
  /** Ends the answer to a take-up, in order, without an event. */
  NoEvents = 'no-events',
  /** Goes on with a take-up one event too late. */
  SkipEvent = 'skip-event',
  /** Goes on with a take-up with the event that the caller has. */
  RepeatEvent = 'repeat-event',
  /** Answers a take-up from the first event on. */
  FromStart = 'from-start',
  /** Goes on with a take-up with an event that has no id. */
  EventWithoutId = 'event-without-id',
}

/** Conducts of an engine whose answers are garbled on the way out, for any request. */
export const GARBLED_CONDUCTS = [
  EngineConduct.Reset,
  EngineConduct.Close,
  EngineConduct.CloseInHead,
  EngineConduct.ExtraAnswer,
  EngineConduct.Unframed,
  EngineConduct.Early,
];

/** Conducts of an engine that doesn't go on with a stream as asked. */
export const TAKE_UP_CONDUCTS = [
  EngineConduct.Error,
  EngineConduct.ErrorWithoutSeal,
  EngineConduct.NoStream,
  EngineConduct.SkipEvent,
  EngineConduct.RepeatEvent,
  EngineConduct.FromStart,
  EngineConduct.EventWithoutId,
  EngineConduct.CloseInHead,
];

/** Which conducts an engine has at present; a process gets it as a line of JSON on its standard input. */
export interface ConductPlan {
  /** Share of the answers to take-ups that get one of `takeUp`. */
  takeUpShare: number;
  takeUp: EngineConduct[];
  /** Share of all other answers that get one of `any`. */
  anyShare: number;
  any: EngineConduct[];
}

/** Whether an engine began to run a request, refused it unrun, or is done with it. */
export enum EngineRecordKind {
  Run = 'run',
  Refused = 'refused',
  Ended = 'ended',
}

/** What an engine has done with a request; a process writes it as a line of JSON to its standard output. */
export interface EngineRecord {
  kind: EngineRecordKind;
  /** Wall time, in ms since the Unix epoch. */
  at: number;
  engine: string;
  version: string;
  born: number;
  /** Attempt id of the request. */
  attempt: string;
  target: string;
  /** Number of the event after which the stream was taken up; 0 for a new stream or a plain request. */
  after: number;
  conduct: EngineConduct;
  framing: AnswerFraming;
}
