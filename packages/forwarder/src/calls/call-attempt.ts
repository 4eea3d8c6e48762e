/** One attempt of a call at an endpoint: its load there, its events, and what comes of it. */
import { EventSplitter } from '@poplarpick/decisions';
import type { InFlightRequest, StreamEvent } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { ResponseObserver } from '../endpoints/endpoint-client.ts';
import type { EndpointRequest } from '../endpoints/endpoint-client.ts';
import type { ResponseHead } from './call-protocol.ts';
import type { Placement } from './call-placer.ts';

/** Largest answer that is held whole before it is passed on, in bytes. */
const WHOLE_LIMIT_BYTES = 4_194_304;

/** Receives what an attempt brings. */
export abstract class AttemptHandler {
  /** The head of an answer; false to pass over the answer and try elsewhere. */
  abstract acceptHead(run: CallAttempt, head: ResponseHead): boolean;
  /** A whole event of a stream; false when the caller doesn't keep up. */
  abstract handleEvent(run: CallAttempt, head: ResponseHead, event: StreamEvent): boolean;
  abstract handleStreamEnd(run: CallAttempt, head: ResponseHead): void;
  abstract handleResponse(run: CallAttempt, head: ResponseHead, body: Buffer): void;
  abstract handleFailure(run: CallAttempt, error: RequestError): void;
}

/** One attempt. */
export class CallAttempt extends ResponseObserver {
  readonly placement: Placement;
  readonly inFlight: InFlightRequest;
  request: EndpointRequest | undefined;
  lastByteAt: number;
  private readonly owner: AttemptHandler;
  private readonly clock: Clock;
  private readonly splitter = new EventSplitter();
  private readonly body: Buffer[] = [];
  private bodyBytes = 0;
  private head: ResponseHead | undefined;
  private isOver = false;
  private isPassedOver = false;

  constructor(options: {
    owner: AttemptHandler;
    placement: Placement;
    clock: Clock;
    kvCacheTokens: number;
  }) {
    super();
    this.owner = options.owner;
    this.placement = options.placement;
    this.clock = options.clock;
    const now = options.clock.monotonic();
    this.lastByteAt = now;
    const { load } = options.placement.record;
    this.inFlight = load.recordSent(options.placement.prefillTokens, options.kvCacheTokens, now);
  }

  /** The endpoint has begun to answer. */
  get hasStarted(): boolean {
    return this.inFlight.hasStarted;
  }

  override onHead(head: ResponseHead): void {
    this.noteBytes();
    this.head = head;
    if (!head.isEventStream) this.placement.record.load.recordStarted(this.inFlight);
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
      this.fail('the stream ended within an event');
      return;
    }
    if (this.bodyBytes > WHOLE_LIMIT_BYTES) {
      this.fail('the answer is too large');
      return;
    }
    this.close();
    if (this.head.isEventStream) this.owner.handleStreamEnd(this, this.head);
    else this.owner.handleResponse(this, this.head, Buffer.concat(this.body));
  }

  override onFailure(error: RequestError): void {
    if (this.isPassedOver || this.isOver) return;
    this.close();
    this.owner.handleFailure(this, error);
  }

  /** Stops the attempt; nothing more comes from it. */
  abort(): void {
    this.close();
    this.request?.abort();
  }

  /** Stops the attempt and reports it as failed; it may have run. */
  fail(reason: string): void {
    if (this.isOver) return;
    this.abort();
    const verdict = Verdict.MayHaveRun;
    this.owner.handleFailure(
      this,
      new RequestError(reason, { code: ErrorCode.IncompleteAnswer, verdict }),
    );
  }

  private passEvents(chunk: Buffer, head: ResponseHead): boolean {
    let keepsUp = true;
    for (const event of this.splitter.push(chunk)) {
      if (this.isOver) return true;
      keepsUp = this.owner.handleEvent(this, head, event) && keepsUp;
    }
    return keepsUp;
  }

  private noteBytes(): void {
    this.lastByteAt = this.clock.monotonic();
    this.placement.record.load.recordBytes(this.lastByteAt);
  }

  private close(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.placement.record.load.recordEnded(this.inFlight);
  }
}
