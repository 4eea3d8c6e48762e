/**
 * Decides whether an answer of an endpoint may reach the caller. Every answer passes it, whatever the endpoint was asked
 * for: the first one, a retry, a hedge, a handover, or one that goes on with a stream, which a router or the caller
 * itself resumes. The caller gets one endpoint's whole answer, or a stream in which each event has the id after the one
 * before. What can't be proved to belong there is a fault of the attempt.
 */
import { isComment } from './event-splitter.ts';
import type { StreamEvent } from './event-splitter.ts';

const STATUS_OK = 200;
const MIN_REDIRECT_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/**
 * Endpoints that must say that nothing follows the event that a caller has, before its stream counts as whole: one that
 * has lost the stream, or never had it, says so as well.
 */
const REQUIRED_EMPTY_ENDS = 2;

/** Largest status of HTTP. The parser takes any three digits; those below 200 never come with an answer. */
export const MAX_HTTP_STATUS = 599;

/** What the check needs to know of the head of an answer. */
export interface AnswerHead {
  status: number;
  /** The endpoint guarantees that it has not run the request. */
  isNotRun: boolean;
  /** Callers take the status for a promise that the request has not run. */
  promisesNotRun: boolean;
  /** The endpoint has signed the answer. */
  isSealed: boolean;
  isEventStream: boolean;
  /** The body has a length or is chunked; otherwise it ends when the connection closes. */
  isFramed: boolean;
}

/** Why an answer, or the rest of it, doesn't reach the caller. The values are reasons for logs and errors. */
export enum AnswerFault {
  /** The endpoint has not run the request. After every other fault it may have. */
  Refused = 'the endpoint refused',
  /** The answer may reach the caller all the same if no other endpoint can be asked. */
  ServerError = 'the endpoint failed',
  UnknownStatus = 'a status that HTTP does not know',
  Unsealed = 'a success without a seal',
  UnprovedRefusal = 'a refusal of a request that may have run',
  NoContinuation = 'an answer that does not go on with the stream',
  NoEvents = 'an end without events within a stream',
}

/** What happens to an event. */
export enum EventAction {
  Pass = 'pass',
  /** A comment before the first event: it goes with that one, so that another endpoint can still begin the stream. */
  Hold = 'hold',
  /** The attempt has failed. */
  Reject = 'reject',
}

/** What the caller has of one response. */
export class ResponseProgress {
  /** Id of the last event that the caller has, also from an earlier response; undefined without one. */
  lastEventId: number | undefined;
  /** The last event that the caller names when it resumes a stream; undefined if it begins one. */
  readonly resumedAfter: number | undefined;
  private begun = false;
  private isContinuous = true;
  private emptyEnds = 0;

  constructor({ resumedAfter }: { resumedAfter: number | undefined }) {
    this.resumedAfter = resumedAfter;
    this.lastEventId = resumedAfter;
  }

  /** Whether the head has been sent. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Whether another answer may be the caller's, or go on with what it has. */
  get canGoOn(): boolean {
    return !this.begun || (this.isContinuous && this.lastEventId !== undefined);
  }

  /** The event after which another endpoint goes on with this response; undefined if it hasn't begun. */
  get resumeAfter(): number | undefined {
    return this.begun ? this.lastEventId : undefined;
  }

  /** Records that the head of the response has been sent. */
  recordHead({ status, isEventStream, isSealed }: AnswerHead): void {
    this.begun = true;
    this.isContinuous = status === STATUS_OK && isEventStream && isSealed;
  }

  /** Records that an endpoint says that nothing follows. Returns whether enough of them have said so. */
  recordEmptyEnd(): boolean {
    this.emptyEnds += 1;
    return this.emptyEnds >= REQUIRED_EMPTY_ENDS;
  }

  /** Records that an event has been sent. After one that can't be named, no other endpoint can go on. */
  recordEvent(event: StreamEvent): void {
    this.lastEventId = event.id ?? this.lastEventId;
    if (event.id === undefined && !isComment(event)) this.isContinuous = false;
  }
}

/** The check of one answer, which begins when its request is sent. */
export class AnswerCheck {
  private readonly progress: ResponseProgress;
  /** The answer goes on with events that the caller has. */
  private readonly isContinuation: boolean;
  private hasPassed = false;

  constructor(progress: ResponseProgress) {
    this.progress = progress;
    this.isContinuation = progress.hasBegun || progress.resumedAfter !== undefined;
  }

  /** The fault of a head; undefined if the answer is accepted so far. */
  checkHead(head: AnswerHead): AnswerFault | undefined {
    const { status } = head;
    if (head.isNotRun) return AnswerFault.Refused;
    if (status > MAX_HTTP_STATUS) return AnswerFault.UnknownStatus;
    if (head.promisesNotRun) return AnswerFault.UnprovedRefusal;
    if (isSuccess(head) && !head.isSealed) return AnswerFault.Unsealed;
    if (this.progress.hasBegun && (status !== STATUS_OK || !head.isEventStream))
      return AnswerFault.NoContinuation;
    return status >= MIN_SERVER_ERROR_STATUS ? AnswerFault.ServerError : undefined;
  }

  /** Decides on the next event of a stream. */
  checkEvent(event: StreamEvent): EventAction {
    const action = this.decide(event);
    if (action === EventAction.Pass) this.hasPassed = true;
    return action;
  }

  /** The fault of a stream that has ended; undefined if the caller's response ends with it. */
  checkStreamEnd({ isFramed }: AnswerHead): AnswerFault | undefined {
    if (!this.isContinuation || this.hasPassed) return undefined;
    return this.checkEmptyEnd(isFramed);
  }

  /** The fault of a complete answer that is no stream; undefined if it is the caller's. */
  checkBody(head: AnswerHead, bodyBytes: number): AnswerFault | undefined {
    if (this.progress.hasBegun) return AnswerFault.NoContinuation;
    if (!this.isContinuation || !isSuccess(head)) return undefined;
    return bodyBytes === 0 ? this.checkEmptyEnd(head.isFramed) : AnswerFault.NoContinuation;
  }

  /** The fault of an answer that says that nothing follows; undefined if the caller's stream is whole. */
  private checkEmptyEnd(isFramed: boolean): AnswerFault | undefined {
    if (this.progress.hasBegun || !isFramed) return AnswerFault.NoEvents;
    return this.progress.recordEmptyEnd() ? undefined : AnswerFault.NoEvents;
  }

  private decide(event: StreamEvent): EventAction {
    const { lastEventId } = this.progress;
    if (isComment(event)) return this.hasPassed ? EventAction.Pass : EventAction.Hold;
    if (event.id === undefined) return this.isContinuation ? EventAction.Reject : EventAction.Pass;
    const isNext = lastEventId === undefined || event.id === lastEventId + 1;
    return isNext ? EventAction.Pass : EventAction.Reject;
  }
}

function isSuccess({ status }: AnswerHead): boolean {
  return status < MIN_REDIRECT_STATUS;
}
