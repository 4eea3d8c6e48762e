/**
 * The bounds that every listener of a process has: how many connections it keeps, how far ahead it reads, and that what it
 * holds is charged to the process's memory budget. All servers are built through a `ListenerGuard`, so that none is left
 * out.
 */
import { createServer } from 'node:http';
import type {
  IncomingMessage,
  RequestListener,
  Server as HttpServer,
  ServerOptions,
  ServerResponse,
} from 'node:http';
import type { Server, Socket } from 'node:net';
import { HoldingKind, pickClosing } from '@poplarpick/decisions';
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { GuardedConnection } from './guarded-connection.ts';
import type { MemoryBudget } from './memory-budget.ts';
import { RequestPacer } from './request-pacer.ts';
import type { WorkTurns } from './work-turns.ts';

/** Time that a request without a body, or with a short one, may take to arrive, in ms. */
const SHORT_RECEIVE_MS = 5_000;

/** Time with its socket read in which an ordinary caller sends the head of its first request, in ms. */
const HEAD_PATIENCE_MS = 100;

/** Connections beyond the most newcomers that may be open for that time. */
const MAX_AWAITED_NEWCOMERS = 96;

/** Options of servers whose requests and responses are short. */
export const SHORT_EXCHANGES: ServerOptions = {
  headersTimeout: SHORT_RECEIVE_MS,
  requestTimeout: SHORT_RECEIVE_MS,
  connectionsCheckingInterval: 1_000,
};

/** Time in which a caller may read the last bytes of a connection, in ms. */
const LAST_READ_MS = 1_000;

/** What all listeners of one process share. */
export interface ListenerResources {
  clock: Clock;
  log: Logger;
  budget: MemoryBudget;
  turns: WorkTurns;
}

/** Options of a `ListenerGuard`. */
export interface ListenerGuardOptions extends ListenerResources {
  /** Name of the listener in logs and metrics. */
  name: string;
  maxConnections: number;
  /**
   * Most connections over which no whole head has come, besides some that are new; as many as there may be connections by
   * default.
   */
  maxNewcomers?: number;
  /** Largest head of a request, in bytes, at the moment; by default only the parser limits it. */
  maxHeadBytes?: () => number;
  /**
   * Ends a connection whose input there is no room for; what comes is thrown away from then on. By default it is closed
   * once the whole requests before that have their answers.
   */
  onInputRefused?: (socket: Socket) => void;
}

/** Why a connection was closed. */
export enum ClosingReason {
  /** It made room for a new one. */
  Replaced = 'replaced',
  /** It was new, and all others are serving requests. */
  Full = 'full',
}

/** Guards one listener. */
export class ListenerGuard {
  private readonly options: ListenerGuardOptions;
  private readonly connections = new Map<Socket, GuardedConnection>();
  /** Connections over which no whole head has come, the oldest first. */
  private readonly newcomers = new Set<Socket>();
  /** Waits until the oldest newcomers have had time for their heads; undefined unless there are too many. */
  private newcomerTimer: Timer | undefined;
  private readonly pacers = new WeakMap<Socket, RequestPacer>();
  private readonly closingListeners: ((reason: ClosingReason) => void)[] = [];

  constructor(options: ListenerGuardOptions) {
    this.options = options;
  }

  get name(): string {
    return this.options.name;
  }

  /** Open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Adds a listener that is called when a connection was closed for lack of room. */
  onClosing(listener: (reason: ClosingReason) => void): void {
    this.closingListeners.push(listener);
  }

  /** Creates an HTTP server with these bounds. */
  createHttpServer(options: ServerOptions, listener: RequestListener): HttpServer {
    // Node.js would answer such requests itself, as many as come, and without counting them.
    const server = createServer({ ...options, requireHostHeader: false });
    server.on('connection', (socket: Socket) => this.acceptHttp(socket, server));
    server.on('request', (request, response) => {
      this.newcomers.delete(request.socket);
      this.pacers.get(request.socket)?.add(request, response);
      this.connections.get(request.socket)?.add(request, response, this.options.clock);
    });
    server.on('request', (request, response) => {
      if (lacksHost(request)) this.refuseHead(request, response);
      else listener(request, response);
    });
    // The parser can't go on after an error; a listener of the server decides what the caller is told.
    server.prependListener('clientError', (_error, socket) => {
      this.pacers.get(socket as Socket)?.giveUp();
      if (server.listenerCount('clientError') === 1) socket.destroy();
    });
    this.watch(server);
    return server;
  }

  /** Keeps a server alive that can't accept a connection, such as for lack of descriptors. */
  watch(server: Server): void {
    const { name, log } = this.options;
    server.on('error', (error) => {
      if (!server.listening) return;
      log.error({ event: 'listener.accept_failed', listener: name, error: describeError(error) });
    });
  }

  /** Accepts a connection, or closes it if there is no room and nobody makes room. */
  accept(socket: Socket): boolean {
    const { clock, maxConnections } = this.options;
    const now = clock.monotonic();
    if (this.connections.size >= maxConnections && !this.makeRoom(now)) {
      this.report(ClosingReason.Full);
      socket.destroy();
      return false;
    }
    this.connections.set(socket, new GuardedConnection(socket, now));
    this.newcomers.add(socket);
    socket.once('close', () => this.forget(socket));
    this.limitNewcomers();
    return true;
  }

  /** Keeps an accepted connection open whatever comes. */
  keep(socket: Socket): void {
    this.newcomers.delete(socket);
    this.connections.get(socket)?.keep();
  }

  private acceptHttp(socket: Socket, server: HttpServer): void {
    if (!this.accept(socket)) return;
    const { budget, turns, maxHeadBytes } = this.options;
    const holding = budget.open({
      kind: HoldingKind.UnreadInput,
      owner: socket.remoteAddress ?? '',
      onYield: () => {
        pacer.giveUp();
        this.refuseInput(socket);
      },
    });
    const pacer = new RequestPacer({
      socket,
      turns,
      garbage: budget.garbage,
      maxHeadBytes: maxHeadBytes ?? (() => Number.POSITIVE_INFINITY),
      onHeadTooLarge: () => server.emit('clientError', createHeadError(), socket),
      holdInput: (bytes) => {
        if (holding.hold(bytes)) return true;
        holding.release();
        this.refuseInput(socket);
        return false;
      },
    });
    this.pacers.set(socket, pacer);
    socket.once('close', () => holding.release());
    // Its caller has been told the last; what it still sends, or doesn't end, is of no use.
    socket.once('finish', () => setTimeout(() => socket.destroy(), LAST_READ_MS).unref());
  }

  /** Refuses a request that isn't HTTP, with nothing after its head parsed: each chunk of a body costs an object. */
  private refuseHead({ socket }: IncomingMessage, response: ServerResponse): void {
    this.pacers.get(socket)?.giveUp();
    response.writeHead(400, { Connection: 'close' }).end();
  }

  private refuseInput(socket: Socket): void {
    const { onInputRefused } = this.options;
    if (onInputRefused === undefined) {
      this.connections.get(socket)?.whenAnswered(() => socket.destroy());
      return;
    }
    onInputRefused(socket);
    // What is held of its input is free once it is closed.
    if (socket.writableFinished) socket.destroy();
    else socket.once('finish', () => socket.destroy());
  }

  private makeRoom(now: number): boolean {
    const states = [...this.connections.values()].map((connection) => ({
      ...connection.describe(now),
      connection,
    }));
    const closing = pickClosing(states, now)?.connection;
    if (closing === undefined) return false;
    this.close(closing.socket);
    return true;
  }

  /** Newcomers beyond those that there is room for. */
  private get surplusNewcomers(): number {
    const { maxNewcomers = Number.POSITIVE_INFINITY } = this.options;
    return this.newcomers.size - maxNewcomers;
  }

  /** Sees to it that there are too many newcomers only for a moment, and never many more. */
  private limitNewcomers(): void {
    if (this.surplusNewcomers <= 0) return;
    if (this.surplusNewcomers > MAX_AWAITED_NEWCOMERS) this.closeOldestNewcomer();
    this.newcomerTimer ??= this.options.clock.afterPoll(HEAD_PATIENCE_MS, () => {
      this.newcomerTimer = undefined;
      this.closeLateNewcomers();
      this.limitNewcomers();
    });
  }

  /** Closes surplus newcomers that have had time for their heads. */
  private closeLateNewcomers(): void {
    const acceptedBefore = this.options.clock.monotonic() - HEAD_PATIENCE_MS;
    for (const socket of this.newcomers) {
      const connection = this.connections.get(socket);
      if (this.surplusNewcomers <= 0 || connection === undefined) return;
      if (connection.acceptedAt > acceptedBefore) return;
      this.close(socket);
    }
  }

  private closeOldestNewcomer(): void {
    const [oldest] = this.newcomers;
    if (oldest !== undefined) this.close(oldest);
  }

  private close(socket: Socket): void {
    this.report(ClosingReason.Replaced);
    this.forget(socket);
    socket.destroy();
  }

  private forget(socket: Socket): void {
    this.connections.delete(socket);
    this.newcomers.delete(socket);
  }

  private report(reason: ClosingReason): void {
    for (const listener of this.closingListeners) listener(reason);
  }
}

/** HTTP/1.1 requires a host in each request. */
function lacksHost({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined;
}

/** The error of the parser for a head that is too large. */
function createHeadError(): NodeJS.ErrnoException {
  return Object.assign(new Error('the head is too large'), { code: 'HPE_HEADER_OVERFLOW' });
}
