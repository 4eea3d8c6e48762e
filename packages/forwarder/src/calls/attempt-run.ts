/** One attempt of a call at an endpoint: its load there, its events, and what comes of it. */
import { EventSplitter } from '@poplarpick/decisions';
import type { InFlightRequest, StreamEvent } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { AttemptObserver } from '../endpoints/endpoint-client.ts';
import type { Attempt } from '../endpoints/endpoint-client.ts';
import type { AnswerHead } from './call-protocol.ts';
import type { Place } from './call-placement.ts';

/** Largest answer that is held whole before it is passed on, in bytes. */
const WHOLE_LIMIT_BYTES = 4_194_304;

/** Receives what an attempt brings. */
export abstract class AttemptOwner {
  /** The head of an answer; false to pass over the answer and try elsewhere. */
  abstract acceptHead(run: AttemptRun, head: AnswerHead): boolean;
  /** A whole event of a stream; false when the caller doesn't keep up. */
  abstract takeEvent(run: AttemptRun, head: AnswerHead, event: StreamEvent): boolean;
  abstract endStream(run: AttemptRun, head: AnswerHead): void;
  abstract takeWhole(run: AttemptRun, head: AnswerHead, body: Buffer): void;
  abstract attemptFailed(run: AttemptRun, error: RequestError): void;
}

/** One attempt. */
export class AttemptRun extends AttemptObserver {
  readonly place: Place;
  readonly sent: InFlightRequest;
  attempt: Attempt | undefined;
  lastByteAt: number;
  private readonly owner: AttemptOwner;
  private readonly clock: Clock;
  private readonly splitter = new EventSplitter();
  private readonly body: Buffer[] = [];
  private bodyBytes = 0;
  private head: AnswerHead | undefined;
  private isOver = false;
  private isPassedOver = false;

  constructor(options: { owner: AttemptOwner; place: Place; clock: Clock; heldTokens: number }) {
    super();
    this.owner = options.owner;
    this.place = options.place;
    this.clock = options.clock;
    const now = options.clock.monotonic();
    this.lastByteAt = now;
    const { load } = options.place.record;
    this.sent = load.recordSent(options.place.readTokens, options.heldTokens, now);
  }

  /** The endpoint has begun to answer. */
  get hasStarted(): boolean {
    return this.sent.hasStarted;
  }

  override onHead(head: AnswerHead): void {
    this.noteBytes();
    this.head = head;
    if (!head.isEventStream) this.place.record.load.recordStarted(this.sent);
    this.isPassedOver = !this.owner.acceptHead(this, head);
    if (this.isPassedOver) this.close();
  }

  override onBytes(chunk: Buffer): boolean {
    this.noteBytes();
    if (this.isPassedOver || this.head === undefined) return true;
    if (this.head.isEventStream) return this.passEvents(chunk, this.head);
    this.bodyBytes += chunk.length;
    if (this.bodyBytes <= WHOLE_LIMIT_BYTES) this.body.push(chunk);
    return true;
  }

  override onEnd(): void {
    if (this.isPassedOver || this.isOver || this.head === undefined) return;
    if (this.head.isEventStream && this.splitter.pendingBytes > 0) {
      this.failWith('the stream ended within an event');
      return;
    }
    if (this.bodyBytes > WHOLE_LIMIT_BYTES) {
      this.failWith('the answer is too large');
      return;
    }
    this.close();
    if (this.head.isEventStream) this.owner.endStream(this, this.head);
    else this.owner.takeWhole(this, this.head, Buffer.concat(this.body));
  }

  override onFailure(error: RequestError): void {
    if (this.isPassedOver || this.isOver) return;
    this.close();
    this.owner.attemptFailed(this, error);
  }

  /** Stops the attempt; nothing more comes from it. */
  abort(): void {
    this.close();
    this.attempt?.abort();
  }

  /** Stops the attempt and reports it as failed; it may have run. */
  failWith(reason: string): void {
    if (this.isOver) return;
    this.abort();
    const verdict = Verdict.MayHaveRun;
    this.owner.attemptFailed(
      this,
      new RequestError(reason, { code: ErrorCode.IncompleteAnswer, verdict }),
    );
  }

  private passEvents(chunk: Buffer, head: AnswerHead): boolean {
    let keepsUp = true;
    for (const event of this.splitter.push(chunk)) {
      if (this.isOver) return true;
      keepsUp = this.owner.takeEvent(this, head, event) && keepsUp;
    }
    return keepsUp;
  }

  private noteBytes(): void {
    this.lastByteAt = this.clock.monotonic();
    this.place.record.load.recordBytes(this.lastByteAt);
  }

  private close(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.place.record.load.recordEnded(this.sent);
  }
}
