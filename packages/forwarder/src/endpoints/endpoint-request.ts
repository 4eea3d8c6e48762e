/**
 * One request to an endpoint, as the handler of its response. Each failure tells whether the request may have run; it
 * can't have run before it was written. An endpoint may send without end: the bytes of a discarded response have limits.
 */
import type { Dispatcher } from 'undici';
import { provableAt } from '@poplarpick/decisions';
import { mayHaveBody } from '@poplarpick/fleet/body-framing';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { ResponseHead, CallProtocol } from '../calls/call-protocol.ts';
import type { EndpointConnection } from './endpoint-connection.ts';
import type { EndpointHandler, EndpointSocket } from './endpoint-socket.ts';
import { ConnectError } from './endpoint-connector.ts';
import { ProcessFinding } from './process-finding.ts';
import type { ProcessProof } from './process-proof.ts';

/** How often a process is asked once more because its connection was closed after its answer. */
const MAX_PROOFS = 2;

const MIN_FINAL_STATUS = 200;

/**
 * Most bytes of a discarded response that are read, so that its connection can be reused. More would cost more
 * than a new connection.
 */
const MAX_DISCARDED_BYTES = 65_536;

/** Time in which a discarded response must end, in ms; its connection is closed then. */
const DISCARD_TIMEOUT_MS = 500;

/** Receives the response to one request. */
export abstract class ResponseObserver {
  /** Called when the request is being written. */
  abstract onWritten(): void;
  /**
   * Called with the head of a response that isn't to this request; the request fails then. What the endpoint says of
   * itself in it holds all the same.
   */
  abstract onForeignHead(head: ResponseHead): void;
  /** Called with the head of the response. Throws to refuse it. */
  abstract onHead(head: ResponseHead): void;
  /** Called with bytes of the body; returns false to pause until `EndpointRequest.resume`. */
  abstract onBytes(chunk: Buffer): boolean;
  /** Called when the response is complete. */
  abstract onEnd(): void;
  /** Called when the request has failed; nothing follows. */
  abstract onFailure(error: RequestError): void;
}

/** Options of an `EndpointRequest`. */
export interface EndpointRequestOptions {
  requestId: string;
  protocol: CallProtocol;
  observer: ResponseObserver;
  connection: EndpointConnection;
  proof: ProcessProof;
  method: string;
  /** Only the process that the endpoint's entry names may get the request. */
  isBound: boolean;
  /** Called when the connection is free again. */
  onReleased: () => void;
  /** Called in place of that if the connection was opened anew, and what is behind it isn't proved. */
  onUnproved: () => void;
}

/** One request to the endpoint. */
export class EndpointRequest implements EndpointHandler {
  private readonly options: EndpointRequestOptions;
  private controller: Dispatcher.DispatchController | undefined;
  private isEnded = false;
  /** undici was told to pause, and hasn't been told to go on since. */
  isPaused = false;
  /** undici has begun to write the request. */
  private wasWritten = false;
  /** The socket over which the request was sent. */
  private socket: EndpointSocket | undefined;
  /** The connection was opened anew before the request was written, and what is behind it isn't proved. */
  private isUnproved = false;
  /** How often the process may still be asked after that. */
  private proofsLeft = MAX_PROOFS;
  /** The response is complete only if its endpoint lives on after the end of the connection. */
  private needsProof = false;
  private isFramed = true;
  private discardedBytes = 0;
  private discardTimer: NodeJS.Timeout | undefined;

  constructor(options: EndpointRequestOptions) {
    this.options = options;
  }

  /** Whether the request hasn't been sent, and is still wanted. */
  get isWaiting(): boolean {
    return !this.isEnded && !this.wasWritten;
  }

  /** Whether the process that has got the request is proved to be the one that the endpoint's entry names. */
  get isProved(): boolean {
    return this.socket !== undefined && this.options.proof.covers(this.socket);
  }

  /** Whether the request may be sent over the current socket of a connection. */
  canUse({ socket }: EndpointConnection): boolean {
    return !this.options.isBound || this.options.proof.covers(socket);
  }

  /** Monotonic time from which a complete list that still names the process proves it, in ms. */
  get provableAt(): number {
    return provableAt(this.socket?.openedAt ?? Number.POSITIVE_INFINITY);
  }

  /** Asks the process that is at the endpoint's address now; `isProved` may hold afterwards. */
  askProcess(): Promise<ProcessFinding> {
    return this.options.proof.askAnew();
  }

  /**
   * Asks the process while it lives, once for each socket, unless it is proved or known to be another one; `isProved`
   * may hold afterwards. Resolves to undefined if it wasn't asked.
   */
  async askEarly(): Promise<ProcessFinding | undefined> {
    const { socket } = this;
    const { proof } = this.options;
    if (socket === undefined || this.isProved) return undefined;
    if (!proof.isReplaced) socket.earlyFinding ??= proof.askAnew();
    return socket.earlyFinding;
  }

  /** Fails the request, which wasn't sent, since the process that the entry names isn't proved to be there. */
  refuse(finding: ProcessFinding): void {
    const isSilent = finding === ProcessFinding.Silent;
    const code = isSilent ? ErrorCode.NoEndpoint : ErrorCode.StreamNotResumable;
    this.fail(`a stream can't go on here, process: ${finding}`, Verdict.NotRun, code);
  }

  /** Fails the request, which wasn't sent, since it may not be sent any more. */
  withhold({ message, code }: RequestError): void {
    this.fail(message, Verdict.NotRun, code);
  }

  /** Aborts the request and closes its connection, without calling the observer. */
  abort(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.closeConnection();
  }

  /**
   * Ends the request without calling the observer. The rest of the response is read if it is short, so that the
   * connection can be reused; otherwise the connection is closed.
   */
  discard(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.discardTimer = setTimeout(() => this.closeConnection(), DISCARD_TIMEOUT_MS).unref();
  }

  resume(): void {
    if (!this.isEnded) this.goOn();
  }

  /** Goes on at the end of the connection, since undici can't finish a response that is paused. Nothing is left to read. */
  onConnectionEnd(): void {
    if (this.isPaused) this.goOn();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isEnded) {
      this.closeConnection();
      return;
    }
    const { connection } = this.options;
    if (!this.canUse(connection)) {
      this.isUnproved = true;
      this.closeConnection();
      return;
    }
    this.wasWritten = true;
    this.socket = connection.socket;
    connection.recordProgress();
    this.options.observer.onWritten();
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isEnded || status < MIN_FINAL_STATUS) return;
    this.options.connection.recordProgress();
    const { protocol, requestId, observer } = this.options;
    const head = protocol.decodeResponse(status, readRawHeaders(controller));
    this.isFramed = head.isFramed;
    this.needsProof = !head.isFramed && mayHaveBody(this.options.method, status);
    if (head.requestId !== requestId) {
      observer.onForeignHead(head);
      this.fail('the endpoint answered another request', Verdict.MayHaveRun);
      controller.abort(new Error('response to another request'));
      return;
    }
    if (head.isNotRun) this.options.connection.refusedIds.add(requestId);
    observer.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.options.connection.recordProgress();
    if (this.isEnded) {
      this.discardBytes(chunk.length);
      return;
    }
    if (this.options.observer.onBytes(chunk) || this.isEnded) return;
    this.isPaused = true;
    controller.pause();
  }

  onResponseEnd(): void {
    this.release();
    if (this.isEnded) return;
    if (!this.isFramed && this.options.connection.wasReset) {
      this.fail('the connection was reset within an answer without a length', Verdict.MayHaveRun);
      return;
    }
    if (this.needsProof) void this.endIfAlive();
    else this.end();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.onDispatchError(error);
  }

  /** Called when the request has failed, also before undici has taken it. */
  onDispatchError(error: Error): void {
    if (this.isUnproved && this.proofsLeft > 0) {
      this.proofsLeft -= 1;
      this.isUnproved = false;
      this.options.onUnproved();
      return;
    }
    this.release();
    if (this.isUnproved) this.refuse(ProcessFinding.Unnamed);
    const wasUnsent = !this.wasWritten || error instanceof ConnectError;
    const verdict = wasUnsent ? Verdict.NotRun : Verdict.MayHaveRun;
    this.fail(error.message, verdict, failureCode(verdict), error);
  }

  /**
   * Ends a response that ended with its connection. A process that is killed closes its connections as orderly as one
   * that has finished its response, so the response counts only if that process lives on.
   */
  private async endIfAlive(): Promise<void> {
    const finding = await this.options.proof.askAnew();
    if (this.isEnded) return;
    const isAlive = finding === ProcessFinding.Listed || finding === ProcessFinding.Unnamed;
    if (isAlive) this.end();
    else this.fail(`an answer without a length ended, process: ${finding}`, Verdict.MayHaveRun);
  }

  private end(): void {
    this.isEnded = true;
    this.options.observer.onEnd();
  }

  private goOn(): void {
    this.isPaused = false;
    this.controller?.resume();
  }

  private discardBytes(count: number): void {
    this.discardedBytes += count;
    if (this.discardedBytes > MAX_DISCARDED_BYTES) this.closeConnection();
  }

  private closeConnection(): void {
    this.controller?.abort(new Error('aborted'));
  }

  private release(): void {
    clearTimeout(this.discardTimer);
    this.options.onReleased();
  }

  private fail(reason: string, verdict: Verdict, code = failureCode(verdict), cause?: Error): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.observer.onFailure(new RequestError(reason, { code, verdict, cause }));
  }
}

function failureCode(verdict: Verdict): ErrorCode {
  return verdict === Verdict.NotRun ? ErrorCode.NoEndpoint : ErrorCode.ConnectionLost;
}

function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
  return raw.map((value) => value.toString('latin1'));
}
