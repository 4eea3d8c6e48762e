/**
 * Connections to one endpoint, pooled by undici. One request is on a connection at a time; aborting a
 * request closes its connection, which makes the endpoint stop. Each failure tells whether the request
 * may have run: it can't have before it was written.
 */
import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { AnswerHead, CallProtocol } from '../calls/call-protocol.ts';
import { ConnectError, connectEndpoint } from './endpoint-connector.ts';

/** Idle time after which a connection is closed, in ms, where the endpoint names none. */
const IDLE_MS = 10_000;

/** Time before the endpoint's own limit at which an idle connection is closed, in ms. */
const IDLE_MARGIN_MS = 1_000;

const FIRST_FINAL_STATUS = 200;

/** Receives what happens to one attempt. */
export abstract class AttemptObserver {
  /** The head of the answer. Throws to refuse it. */
  abstract onHead(head: AnswerHead): void;
  /** Bytes of the answer; false to pause until `Attempt.resume`. */
  abstract onBytes(chunk: Buffer): boolean;
  /** The answer is whole. */
  abstract onEnd(): void;
  /** It failed; nothing follows. */
  abstract onFailure(error: RequestError): void;
}

/** A request to send. */
export interface AttemptRequest {
  method: string;
  target: string;
  requestId: string;
  headers: string[];
  body: Buffer | undefined;
}

/** Options of an `EndpointClient`. */
export interface EndpointClientOptions {
  /** `IP:port`. */
  address: string;
  /** Most connections from this router. */
  connectionLimit: number;
  protocol: CallProtocol;
}

/** Sends requests to one endpoint. */
export class EndpointClient {
  private readonly pool: Pool;
  private readonly options: EndpointClientOptions;

  constructor(options: EndpointClientOptions) {
    this.options = options;
    this.pool = new Pool(`http://${options.address}`, {
      connections: options.connectionLimit,
      pipelining: 1,
      connect: connectEndpoint,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // Connection failures reach the requests that waited for them.
    this.pool.on('connectionError', () => undefined);
  }

  /** Sends a request; what comes of it goes to the observer. */
  send(request: AttemptRequest, observer: AttemptObserver): Attempt {
    const attempt = new Attempt(request.requestId, this.options.protocol, observer);
    this.pool.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body ?? null,
      },
      attempt,
    );
    return attempt;
  }

  /** Closes idle connections now and the others when their requests end. */
  close(): void {
    this.pool.close().catch(() => undefined);
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.pool.destroy().catch(() => undefined);
  }
}

/** One request at one endpoint. */
export class Attempt implements Dispatcher.DispatchHandler {
  private readonly requestId: string;
  private readonly protocol: CallProtocol;
  private readonly observer: AttemptObserver;
  private controller: Dispatcher.DispatchController | undefined;
  private isOver = false;
  private isWritten = false;

  constructor(requestId: string, protocol: CallProtocol, observer: AttemptObserver) {
    this.requestId = requestId;
    this.protocol = protocol;
    this.observer = observer;
  }

  /** Stops the attempt without a word to the observer; the connection is closed. */
  abort(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.controller?.abort(new Error('aborted'));
  }

  resume(): void {
    if (!this.isOver) this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isOver) controller.abort(new Error('aborted'));
    else this.isWritten = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isOver || status < FIRST_FINAL_STATUS) return;
    const raw = readRawHeaders(controller);
    const head = this.protocol.readAnswer(status, raw);
    if (head.requestId !== this.requestId) {
      this.fail('the endpoint answered another request', Verdict.MayHaveRun);
      controller.abort(new Error('foreign answer'));
      return;
    }
    this.observer.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isOver) return;
    if (!this.observer.onBytes(chunk) && !this.isOver) controller.pause();
  }

  onResponseEnd(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    const isUnsent = !this.isWritten || error instanceof ConnectError;
    this.fail(error.message, isUnsent ? Verdict.NotRun : Verdict.MayHaveRun);
  }

  private fail(reason: string, verdict: Verdict): void {
    if (this.isOver) return;
    this.isOver = true;
    const code = verdict === Verdict.NotRun ? ErrorCode.NoEndpoint : ErrorCode.ConnectionLost;
    this.observer.onFailure(new RequestError(reason, { code, verdict }));
  }
}

function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
  return raw.map((value) => value.toString('latin1'));
}
