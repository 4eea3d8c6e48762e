/** What callers of a day sent and received. */

/** How a try of a caller ended. */
export enum TryEnd {
  /** The answer ended as complete. */
  Whole = 'whole',
  /** The answer or its connection was broken off. */
  Cut = 'cut',
  /** The caller left. */
  Left = 'left',
}

/** One request on the wire. */
export interface TryRecord {
  attempt: string;
  router: string;
  /** Number in `Last-Event-Id`; 0 if it wasn't sent. */
  after: number;
  /** Wall times in ms since the Unix epoch. */
  startedAt: number;
  endedAt: number;
  /** 0 without a head. */
  status: number;
  seal: string | undefined;
  /** `Attempt-Id` of the answer. */
  answeredAttempt: string | undefined;
  /** Body of an answer that is no stream of events. */
  body: string;
  end: TryEnd;
}

/** One request of a caller, with all its tries. */
export interface RequestRecord {
  name: string;
  route: string;
  /** Number of events of the stream; 0 for a plain request. */
  events: number;
  isResumable: boolean;
  isIdempotent: boolean;
  tries: TryRecord[];
}

/** What can be wrong with what a caller got. */
export enum ViolationKind {
  WentBack = 'number-went-back',
  Doubled = 'event-doubled',
  Gap = 'gap',
  JoinedVersions = 'joined-versions',
  /** Events of two runs in a stream that may not be resumed. */
  JoinedRuns = 'joined-runs',
  EndedEarly = 'ended-early',
  /** Bytes that are no event or no answer of an engine. */
  ForeignBytes = 'foreign-bytes',
  /** An event or an answer of another request. */
  ForeignAnswer = 'foreign-answer',
  MissingSeal = 'missing-seal',
  /** A status that promises "not run" for a request that ran. */
  UntrueNotRun = 'untrue-not-run',
  RanTwice = 'ran-twice',
}

/** One violation. */
export interface Violation {
  kind: ViolationKind;
  /** Name of the request. */
  request: string;
  attempt: string;
  /** Wall time in ms since the Unix epoch. */
  at: number;
  detail: string;
}
