/**
 * Connections to one endpoint, each an undici client with one request at a time. Aborting a request
 * closes its connection, which makes the endpoint stop. Each failure tells whether the request may have
 * run: it can't have before it was written.
 */
import { Client } from 'undici';
import type { buildConnector, Dispatcher } from 'undici';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { ResponseHead, CallProtocol } from '../calls/call-protocol.ts';
import { ConnectError, connectEndpoint } from './endpoint-connector.ts';

/** Idle time after which a connection is closed, in ms, where the endpoint names none. */
const KEEP_ALIVE_MS = 10_000;

/** Time before the endpoint's own limit at which an idle connection is closed, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

const MIN_FINAL_STATUS = 200;

/** Receives what happens to one attempt. */
export abstract class ResponseObserver {
  /** The head of the answer. Throws to refuse it. */
  abstract onHead(head: ResponseHead): void;
  /** Bytes of the answer; false to pause until `Attempt.resume`. */
  abstract onBytes(chunk: Buffer): boolean;
  /** The answer is whole. */
  abstract onEnd(): void;
  /** It failed; nothing follows. */
  abstract onFailure(error: RequestError): void;
}

/** A request to send. */
export interface OutgoingRequest {
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
  private readonly options: EndpointClientOptions;
  private readonly idleConnections: EndpointConnection[] = [];
  private readonly connections = new Set<EndpointConnection>();
  private isClosed = false;

  constructor(options: EndpointClientOptions) {
    this.options = options;
  }

  /** True when every connection is busy and no more may be opened. */
  get isFull(): boolean {
    return (
      this.idleConnections.length === 0 && this.connections.size >= this.options.connectionLimit
    );
  }

  /** Sends a request; what comes of it goes to the observer. */
  send(request: OutgoingRequest, observer: ResponseObserver): EndpointRequest {
    const connection = this.idleConnections.pop() ?? this.connect();
    const endpointRequest = new EndpointRequest({
      requestId: request.requestId,
      protocol: this.options.protocol,
      observer,
      connection,
      onReleased: () => this.release(connection),
    });
    connection.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body ?? null,
      },
      endpointRequest,
    );
    return endpointRequest;
  }

  /** Closes idle connections now and the others when their requests end. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idleConnections.splice(0)) this.discard(connection);
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.isClosed = true;
    this.idleConnections.length = 0;
    for (const connection of this.connections) this.discard(connection);
  }

  private connect(): EndpointConnection {
    const connection = new EndpointConnection(this.options.address);
    this.connections.add(connection);
    return connection;
  }

  /** Keeps the connection for the next request; the newest used is used first. */
  private release(connection: EndpointConnection): void {
    if (this.isClosed) this.discard(connection);
    else this.idleConnections.push(connection);
  }

  private discard(connection: EndpointConnection): void {
    this.connections.delete(connection);
    connection.client.destroy().catch(() => undefined);
  }
}

/** One connection, opened anew when it was closed. */
class EndpointConnection {
  readonly client: Client;
  /** The socket in use ended with an error. */
  wasReset = false;

  constructor(address: string) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) => this.open(options, callback),
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  private open(options: buildConnector.Options, callback: buildConnector.Callback): void {
    this.wasReset = false;
    connectEndpoint(options, (...result) => {
      // Comes before the client's own listener, which takes a reset for the end of an unframed answer.
      result[1]?.on('error', () => {
        this.wasReset = true;
      });
      callback(...result);
    });
  }
}

/** Options of an `Attempt`. */
interface EndpointRequestOptions {
  requestId: string;
  protocol: CallProtocol;
  observer: ResponseObserver;
  connection: EndpointConnection;
  /** Called once the connection is free. */
  onReleased: () => void;
}

/** One request at one endpoint. */
export class EndpointRequest implements Dispatcher.DispatchHandler {
  private readonly options: EndpointRequestOptions;
  private controller: Dispatcher.DispatchController | undefined;
  private isEnded = false;
  private wasWritten = false;
  private isFramed = true;

  constructor(options: EndpointRequestOptions) {
    this.options = options;
  }

  /** Stops the attempt without a word to the observer; the connection is closed. */
  abort(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.controller?.abort(new Error('aborted'));
  }

  resume(): void {
    if (!this.isEnded) this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isEnded) controller.abort(new Error('aborted'));
    else this.wasWritten = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.isEnded || status < MIN_FINAL_STATUS) return;
    const { protocol, requestId, observer } = this.options;
    const head = protocol.decodeResponse(status, readRawHeaders(controller));
    this.isFramed = head.isFramed;
    if (head.requestId !== requestId) {
      this.fail('the endpoint answered another request', Verdict.MayHaveRun);
      controller.abort(new Error('foreign answer'));
      return;
    }
    observer.onHead(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isEnded) return;
    if (!this.options.observer.onBytes(chunk) && !this.isEnded) controller.pause();
  }

  onResponseEnd(): void {
    this.options.onReleased();
    if (this.isEnded) return;
    if (!this.isFramed && this.options.connection.wasReset) {
      this.fail('the connection was reset within an answer without a length', Verdict.MayHaveRun);
      return;
    }
    this.isEnded = true;
    this.options.observer.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.options.onReleased();
    const wasUnsent = !this.wasWritten || error instanceof ConnectError;
    this.fail(error.message, wasUnsent ? Verdict.NotRun : Verdict.MayHaveRun);
  }

  private fail(reason: string, verdict: Verdict): void {
    if (this.isEnded) return;
    this.isEnded = true;
    const code = verdict === Verdict.NotRun ? ErrorCode.NoEndpoint : ErrorCode.ConnectionLost;
    this.options.observer.onFailure(new RequestError(reason, { code, verdict }));
  }
}

function readRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
  return raw.map((value) => value.toString('latin1'));
}
