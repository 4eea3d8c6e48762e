/**
 * The response to one caller, with what the caller has of it: the answer of one endpoint, a stream with which several
 * endpoints go on, or an error of the router. A stream keeps the head of its first answer.
 */
import type { ServerResponse } from 'node:http';
import { AnswerCheck, ResponseProgress } from '@poplarpick/decisions';
import type { StreamEvent } from '@poplarpick/decisions';
import { UntakenAnswer } from '@poplarpick/fleet/listening/untaken-answer';
import type { MemoryBudget } from '@poplarpick/fleet/listening/memory-budget';
import type { RequestError } from '@poplarpick/kernel';
import type { ResponseHead } from './call-protocol.ts';
import { ResponseWriter } from './response-writer.ts';

/** Options of a `CallResponse`. */
export interface CallResponseOptions {
  response: ServerResponse;
  /** Whether the caller's connection is closed after this response. */
  shouldCloseConnection: () => boolean;
  /** The last event that the caller names when it resumes a stream; undefined if it begins one. */
  resumedAfter: number | undefined;
  /** The memory that is held for callers. */
  budget: MemoryBudget;
  /** Who takes the response: the workspace, or else the caller's address. */
  owner: string;
}

/** Passes on what an answer's check has let through. */
export class CallResponse {
  private readonly writer: ResponseWriter;
  private readonly progress: ResponseProgress;
  private readonly untaken: UntakenAnswer;
  private framed: boolean | undefined;
  private hasEvents = false;

  constructor(options: CallResponseOptions) {
    const { response, shouldCloseConnection, resumedAfter } = options;
    this.untaken = new UntakenAnswer(options);
    this.writer = new ResponseWriter(response, shouldCloseConnection);
    this.progress = new ResponseProgress({ resumedAfter });
  }

  /** Whether the head of an answer has been sent. */
  get hasBegun(): boolean {
    return this.progress.hasBegun;
  }

  /** Whether another answer may be the caller's, or go on with what it has. */
  get canGoOn(): boolean {
    return this.progress.canGoOn;
  }

  /** The event after which another endpoint goes on; undefined if the response hasn't begun. */
  get resumeAfter(): number | undefined {
    return this.progress.resumeAfter;
  }

  /** Id of the last event that the caller has, also from an earlier response; undefined without one. */
  get lastEventId(): number | undefined {
    return this.progress.lastEventId;
  }

  /** Id of the last event of this response; undefined without one. */
  get sentEventId(): number | undefined {
    return this.hasEvents ? this.progress.lastEventId : undefined;
  }

  /** Whether the answer with which the response has ended had a length or chunks; undefined if none has. */
  get wasFramed(): boolean | undefined {
    return this.framed;
  }

  /** Whether the next event goes on with a stream of which the caller has a part. */
  get isContinued(): boolean {
    return this.hasBegun || this.lastEventId !== undefined;
  }

  /** The check for an answer whose request is sent now. */
  createCheck(): AnswerCheck {
    return new AnswerCheck(this.progress);
  }

  /** Writes an event after the comments before it; false when writing should pause until `onceDrained`. */
  writeEvent(head: ResponseHead, event: StreamEvent, comments: Buffer): boolean {
    this.begin(head);
    if (comments.length > 0) this.writer.write(comments);
    this.hasEvents ||= event.id !== undefined;
    this.progress.recordEvent(event);
    const canContinue = this.writer.write(event.bytes);
    if (!canContinue) this.untaken.record();
    return canContinue;
  }

  /** Calls `action` once the buffer has drained. */
  onceDrained(action: () => void): void {
    this.writer.onceDrained(action);
  }

  /** Ends a stream after the comments at its end. */
  endStream(head: ResponseHead, comments: Buffer): void {
    this.framed = head.isFramed;
    this.begin(head);
    if (comments.length > 0) this.writer.write(comments);
    this.writer.end();
  }

  /** Writes a complete answer. */
  send(head: ResponseHead, body: Buffer): void {
    this.framed = head.isFramed;
    this.progress.recordHead(head);
    this.writer.send(head.status, head.forwardedHeaders, body);
    this.untaken.record();
  }

  /** Writes an error of the router. */
  sendError(error: RequestError): void {
    this.writer.sendError(error);
  }

  /** Closes the connection, so that the caller sees that the response is incomplete. */
  abort(): void {
    this.writer.abort();
  }

  private begin(head: ResponseHead): void {
    if (this.hasBegun) return;
    this.progress.recordHead(head);
    this.writer.writeHead(head.status, head.forwardedHeaders);
  }
}
