/**
 * One attempt of a call at an endpoint: counts in the endpoint's load while it runs, splits a stream
 * into events or buffers the body of another response, and reports the result to the call.
 */
import { ByteAccumulator, EventSplitter, HoldingKind } from '@poplarpick/decisions';
import type { AnswerCheck, Endpoint, InFlightRequest, StreamEvent } from '@poplarpick/decisions';
import { BlockBuffer } from '@poplarpick/fleet/listening/block-pool';
import type { Holding, MemoryBudget } from '@poplarpick/fleet/listening/memory-budget';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import { ResponseObserver } from '../endpoints/endpoint-request.ts';
import type { EndpointRequest } from '../endpoints/endpoint-request.ts';
import type { ResponseHead } from './call-protocol.ts';
import type { Placement } from './endpoint-evaluator.ts';

/** Largest body of a response without events, in bytes; it is buffered before it is forwarded. */
const MAX_BODY_BYTES = 4_194_304;

/**
 * Most bytes of an incomplete event: it is buffered as a body is, so it may be as large as one. A stream as a
 * whole has no limit.
 */
const MAX_EVENT_BYTES = MAX_BODY_BYTES;

/** Most chunks of a body or an incomplete event: each chunk costs time, also one of a single byte. */
const MAX_CHUNKS = 131_072;

/** Why an attempt fails whose answer there is no room for. */
const NO_MEMORY = 'the router holds as much as it can';

/** Receives the events and the result of an attempt. */
export abstract class AttemptHandler {
  /** Called when the request is being written to the endpoint. */
  abstract handleWritten(attempt: CallAttempt): void;
  /** Called with the head of a response to another request; a failure follows. */
  abstract recordForeignHead(attempt: CallAttempt, head: ResponseHead): void;
  /** Called with the head of a response; returns false to discard the response. */
  abstract acceptHead(attempt: CallAttempt, head: ResponseHead): boolean;
  /** Called with each complete event of a stream; returns false to apply backpressure. */
  abstract handleEvent(attempt: CallAttempt, head: ResponseHead, event: StreamEvent): boolean;
  /** Called when a stream has ended completely. */
  abstract handleStreamEnd(attempt: CallAttempt, head: ResponseHead): void;
  /** Called with a complete response that isn't a stream. */
  abstract handleResponse(attempt: CallAttempt, head: ResponseHead, body: Buffer): void;
  /** Called when the attempt has failed; nothing follows. */
  abstract handleFailure(attempt: CallAttempt, error: RequestError): void;
}

/** One attempt of a call. */
export class CallAttempt extends ResponseObserver {
  readonly placement: Placement;
  /** The endpoint as it was listed when the attempt was sent. */
  readonly endpoint: Endpoint;
  /** The attempt's entry in the load of the endpoint. */
  readonly inFlight: InFlightRequest;
  /** Decides what of the answer reaches the caller. */
  readonly check: AnswerCheck;
  request: EndpointRequest | undefined;
  /** Whether reading is paused, since the caller doesn't keep up. */
  private isReadPaused = false;
  /** Monotonic time at which bytes were last received, in ms; initially the time of sending. */
  private lastByteAt: number;
  /** Monotonic time of the first event, in ms; undefined before it. */
  firstEventAt: number | undefined;
  private readonly handler: AttemptHandler;
  private readonly clock: Clock;
  private readonly splitter: EventSplitter;
  /** Chunks of the body, or of the incomplete event. */
  private chunks = 0;
  private readonly budget: MemoryBudget;
  private readonly body: BlockBuffer;
  private readonly comments = new ByteAccumulator();
  /** What is held of the answer until it can be passed on. */
  private readonly holding: Holding;
  private head: ResponseHead | undefined;
  private isEnded = false;
  private isResponseRejected = false;

  constructor(options: {
    handler: AttemptHandler;
    placement: Placement;
    check: AnswerCheck;
    clock: Clock;
    kvCacheTokens: number;
    /** The memory that is held for callers. */
    budget: MemoryBudget;
    /** For whom the answer is held. */
    owner: string;
  }) {
    super();
    this.handler = options.handler;
    this.placement = options.placement;
    this.check = options.check;
    this.endpoint = options.placement.record.endpoint;
    this.clock = options.clock;
    const { budget, owner } = options;
    this.budget = budget;
    this.body = new BlockBuffer(budget.blocks);
    this.splitter = new EventSplitter(this.body);
    this.holding = budget.open({
      kind: HoldingKind.ServedRequest,
      owner,
      onYield: () => this.fail(NO_MEMORY),
    });
    const now = options.clock.monotonic();
    this.lastByteAt = now;
    const { load } = options.placement.record;
    this.inFlight = load.recordSent(options.placement.prefillTokens, options.kvCacheTokens, now);
  }

  /** Whether the first event, or the head of a response without events, has arrived. */
  get hasStarted(): boolean {
    return this.inFlight.hasStarted;
  }

  /** Monotonic time since which the endpoint is silent, in ms; undefined while reading is paused. */
  get silentSince(): number | undefined {
    return this.isReadPaused ? undefined : this.lastByteAt;
  }

  override onWritten(): void {
    if (!this.isEnded) this.handler.handleWritten(this);
  }

  override onForeignHead(head: ResponseHead): void {
    this.handler.recordForeignHead(this, head);
  }

  override onHead(head: ResponseHead): void {
    this.recordBytes();
    this.head = head;
    if (!head.isEventStream) this.placement.record.load.recordStarted(this.inFlight);
    this.isResponseRejected = !this.handler.acceptHead(this, head);
    if (!this.isResponseRejected) return;
    this.close();
    this.request?.discard();
  }

  override onBytes(chunk: Buffer): boolean {
    this.recordBytes();
    this.budget.garbage.recordRead(chunk.length);
    if (this.isResponseRejected || this.head === undefined) return true;
    if (this.head.isEventStream) return this.forwardEvents(chunk, this.head);
    this.chunks += 1;
    const isTooLarge = this.body.length + chunk.length > MAX_BODY_BYTES || this.chunks > MAX_CHUNKS;
    if (isTooLarge) this.fail('the answer is too large');
    else if (this.holdAnswer(this.body.capacityWith(chunk.length))) this.body.push(chunk);
    return true;
  }

  override onEnd(): void {
    if (this.isResponseRejected || this.isEnded || this.head === undefined) return;
    if (this.head.isEventStream && this.splitter.pendingBytes > 0) {
      this.fail('the stream ended within an event');
      return;
    }
    const body = this.body.take();
    this.close();
    if (this.head.isEventStream) this.handler.handleStreamEnd(this, this.head);
    else this.handler.handleResponse(this, this.head, body);
  }

  override onFailure(error: RequestError): void {
    if (this.isResponseRejected || this.isEnded) return;
    this.close();
    this.handler.handleFailure(this, error);
  }

  /** Reads on after the caller has caught up. */
  resume(): void {
    if (this.isReadPaused) this.lastByteAt = this.clock.monotonic();
    this.isReadPaused = false;
    this.request?.resume();
  }

  /** Cancels the attempt without calling the handler. */
  abort(): void {
    this.close();
    this.request?.abort();
  }

  /** Cancels the attempt and reports a failure; the request may have run. */
  fail(reason: string, code = ErrorCode.IncompleteAnswer): void {
    if (this.isEnded) return;
    this.abort();
    const verdict = Verdict.MayHaveRun;
    this.handler.handleFailure(this, new RequestError(reason, { code, verdict }));
  }

  /** Keeps a comment until the attempt has proved that its answer is the caller's. */
  holdComment(bytes: Buffer): void {
    if (this.comments.length + bytes.length > MAX_EVENT_BYTES) this.fail('too many comments');
    else this.comments.push(bytes);
  }

  /** Removes and returns the comments that were kept. */
  takeComments(): Buffer {
    return this.comments.take();
  }

  /** Hands the events that the chunk completes to the call; false to apply backpressure. */
  private forwardEvents(chunk: Buffer, head: ResponseHead): boolean {
    let canContinue = true;
    const events = this.splitter.push(chunk);
    this.chunks = events.length > 0 ? 0 : this.chunks + 1;
    for (const event of events) {
      if (this.isEnded) return true;
      // An event that came in parts was copied into one buffer, and into a text to find its id.
      if (event.bytes.length > chunk.length) this.budget.garbage.recordRead(event.bytes.length);
      this.firstEventAt ??= this.lastByteAt;
      canContinue = this.handler.handleEvent(this, head, event) && canContinue;
    }
    if (this.splitter.pendingBytes > MAX_EVENT_BYTES || this.chunks > MAX_CHUNKS) {
      this.fail('an event is too large');
      return true;
    }
    if (!this.holdAnswer(this.splitter.pendingBytes)) return true;
    this.isReadPaused = !canContinue;
    return canContinue;
  }

  /** Holds so many bytes of the answer, in all; fails the attempt if there is no room for them. */
  private holdAnswer(bytes: number): boolean {
    if (bytes === this.holding.bytes || this.isEnded) return true;
    if (this.holding.holdPromised(bytes)) return true;
    this.fail(NO_MEMORY);
    return false;
  }

  private recordBytes(): void {
    this.lastByteAt = this.clock.monotonic();
    this.placement.record.load.recordBytes(this.lastByteAt);
  }

  private close(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.holding.release();
    this.body.release();
    this.placement.record.load.recordEnded(this.inFlight);
  }
}
