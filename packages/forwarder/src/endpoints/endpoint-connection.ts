/**
 * One connection to an endpoint: an undici client that carries one request at a time and reopens the connection after
 * it was closed. What is known of the connection holds for its current socket.
 */
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { buildConnector, Dispatcher } from 'undici';
import type { Clock, RequestError } from '@poplarpick/kernel';
import { connectEndpoint } from './endpoint-connector.ts';
import { createSocket } from './endpoint-socket.ts';
import type { EndpointHandler, EndpointSocket } from './endpoint-socket.ts';
import { ProgressGuard } from './progress-guard.ts';
import { RefusedIds } from './refused-ids.ts';

/** Idle time after which a connection is closed, in ms, if the endpoint states no limit of its own. */
const KEEP_ALIVE_MS = 10_000;

/** Time before the endpoint's own limit at which an idle connection is closed, in ms. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** A request without what identifies it. */
export interface PlainRequest {
  method: string;
  target: string;
  headers: string[];
  body?: Buffer | undefined;
}

/** A request to send to the endpoint. */
export interface OutgoingRequest extends PlainRequest {
  requestId: string;
  /** Only the process that the endpoint's entry names may get the request; any by default. */
  isBound?: boolean;
  /**
   * Called if the request had to wait, at the moment of its send: returns the headers that hold then, or why it may not
   * be sent any more. By default it is sent as it is.
   */
  renew?: () => string[] | RequestError;
}

/** Options of an `EndpointConnection`. */
export interface EndpointConnectionOptions {
  /** `IP:port`. */
  address: string;
  clock: Clock;
  /** Called with the time that a connection took to open, to be refused or to time out, in ms. */
  onOpening?: ((elapsedMs: number) => void) | undefined;
  /** Whether connections open late wherever they lead; never by default. */
  isLate?: (() => boolean) | undefined;
}

/** One connection; undici reopens it after it was closed. */
export class EndpointConnection {
  /** The current socket has ended with an error. */
  wasReset = false;
  /** Requests that were refused on the current socket. */
  readonly refusedIds = new RefusedIds();
  /** The current socket, or the next one if there is none. */
  socket: EndpointSocket = createSocket(Number.POSITIVE_INFINITY);
  private readonly address: string;
  private readonly clock: Clock;
  private readonly options: EndpointConnectionOptions;
  /** Undefined before the first request. */
  private client: Client | undefined;
  /** Open, and not given to undici yet. */
  private ahead: Socket | undefined;
  private progressGuard: ProgressGuard | undefined;
  /** Handles the response that comes over the current socket. */
  private handler: EndpointHandler | undefined;
  /** The current socket of the operating system, once it is open. */
  private opened: Socket | undefined;

  constructor(options: EndpointConnectionOptions) {
    this.options = options;
    this.address = options.address;
    this.clock = options.clock;
  }

  /**
   * Sends a request. An error before that, such as an address that can't be read, fails the request like any other
   * failure: the caller may be in a timer or in the failure of an earlier attempt, where nothing would catch it.
   */
  dispatch({ method, target, headers, body }: PlainRequest, handler: EndpointHandler): void {
    const options = {
      method: method as Dispatcher.HttpMethod,
      path: target,
      headers,
      body: body ?? null,
    };
    this.handler = handler;
    try {
      this.client ??= this.createClient();
      this.client.dispatch(options, handler);
    } catch (error) {
      const reason = error instanceof Error ? error : new Error(String(error));
      queueMicrotask(() => handler.onDispatchError(reason));
    }
  }

  /**
   * Opens the connection if it isn't open, so that it is known when it was. The next request goes over it, unless it has
   * ended by then. Rejects if it can't be opened.
   */
  async openAhead(): Promise<void> {
    if (Number.isFinite(this.socket.openedAt)) return;
    const { hostname, port } = new URL(`http://${this.address}`);
    this.ahead = await new Promise<Socket>((resolve, reject) => {
      this.connect({ hostname, port }, (error, socket) => {
        if (socket === null) reject(error ?? new Error('no connection'));
        else resolve(socket);
      });
    });
  }

  /** Bytes that have come over the current socket. */
  get bytesRead(): number {
    return this.opened?.bytesRead ?? 0;
  }

  destroy(): void {
    this.ahead?.destroy();
    this.client?.destroy().catch(() => undefined);
  }

  /** Called when a request or the body of a response begins, and with each part of a body. */
  recordProgress(): void {
    this.progressGuard?.recordProgress();
  }

  private createClient(): Client {
    return new Client(`http://${this.address}`, {
      pipelining: 1,
      connect: (options, callback) => this.open(options, callback),
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Gives undici a socket, but not within this call: the one that was opened ahead, if it is open, or a new one. */
  private open(options: buildConnector.Options, callback: buildConnector.Callback): void {
    const { ahead } = this;
    this.ahead = undefined;
    if (ahead?.readyState === 'open') queueMicrotask(() => this.use(ahead, callback));
    else
      this.connect(options, (...result) => {
        if (result[1] === null) callback(...result);
        else this.use(result[1], callback);
      });
  }

  private use(socket: Socket, callback: buildConnector.Callback): void {
    callback(null, socket);
    this.progressGuard = new ProgressGuard(socket);
  }

  private connect(
    options: Pick<buildConnector.Options, 'hostname' | 'port'>,
    callback: buildConnector.Callback,
  ): void {
    this.wasReset = false;
    this.refusedIds.clear();
    const known = createSocket(this.clock.monotonic());
    this.socket = known;
    const recordOpening = (): void =>
      this.options.onOpening?.(this.clock.monotonic() - known.openingAt);
    const isLate = (): boolean => {
      recordOpening();
      return this.options.isLate?.() ?? false;
    };
    connectEndpoint({ ...options, isLate }, (...result) => {
      const [, socket] = result;
      recordOpening();
      if (socket !== null) {
        known.openedAt = this.clock.monotonic();
        this.opened = socket;
      }
      // Registered before undici's own listener, which treats a reset as the end of an unframed response.
      socket?.on('error', (error) => {
        this.wasReset = true;
        if (this.handler?.isPaused === true) hideReset(error);
      });
      socket?.on('end', () => this.handler?.onConnectionEnd?.());
      socket?.once('close', () => {
        if (this.socket === known) this.socket = createSocket(Number.POSITIVE_INFINITY);
      });
      callback(...result);
    });
  }
}

/**
 * Lets undici take a reset for any other error of the connection. It would finish the response otherwise, and its parser
 * can't while it is paused: it throws from an event of the socket, which ends the process.
 */
function hideReset(error: Error & { code?: string }): void {
  if (error.code === 'ECONNRESET') error.code = 'ECONNABORTED';
}
