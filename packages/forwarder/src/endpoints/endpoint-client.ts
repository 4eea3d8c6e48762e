/**
 * Connection pool for one endpoint. Each connection is an undici client that carries one request at a
 * time. Aborting a request closes its connection, which cancels the request at the endpoint.
 */
import { RequestError, SystemClock } from '@poplarpick/kernel';
import type { Clock } from '@poplarpick/kernel';
import type { CallProtocol } from '../calls/call-protocol.ts';
import { EndpointConnection } from './endpoint-connection.ts';
import type { OutgoingRequest } from './endpoint-connection.ts';
import { EndpointRequest } from './endpoint-request.ts';
import type { ResponseObserver } from './endpoint-request.ts';
import { ProcessProof } from './process-proof.ts';

/** Difference that the clocks of this host and of the endpoint may have, in ms, when the times of both are compared. */
const CLOCK_TOLERANCE_MS = 1_000;

/**
 * Longest time for which a process that has started again may have served before the first entry of its predecessor was
 * read here, in ms. A start that is longer ago comes from a clock that is wrong.
 */
const MAX_ENTRY_LAG_MS = 60_000;

/** Time in which bytes show that a connection leads to a process that lives, in ms. */
const SIGN_OF_LIFE_MS = 300;

/** What became of the connections of a process that has been replaced. */
export interface RetiredConnections {
  /** Connections with a request that were opened after the start of the new process, so that they lead to it. */
  kept: number;
  /** Connections with a request that end unless bytes come over them. */
  doubtful: number;
}

/** Options of an `EndpointClient`. */
export interface EndpointClientOptions {
  /** `IP:port`. */
  address: string;
  /** Most connections from this router. */
  connectionLimit: number;
  protocol: CallProtocol;
  /** Start of the process that the endpoint's entry names, in ms since the Unix epoch; 0 if unknown, by default. */
  startedAt?: number;
  /** The clock of this host by default. */
  clock?: Clock;
  /** Called with the time that a connection took to open, to be refused or to time out, in ms. */
  onOpening?: (elapsedMs: number) => void;
  /** Whether connections open late wherever they lead; never by default. */
  isLate?: () => boolean;
  /** Called when it turns out that another process has taken the place of that one. */
  onReplaced?: () => void;
}

/** Sends requests to one endpoint. */
export class EndpointClient {
  private readonly options: EndpointClientOptions;
  private readonly clock: Clock;
  private readonly proof: ProcessProof;
  private readonly idle: EndpointConnection[] = [];
  private readonly connections = new Set<EndpointConnection>();
  /** Monotonic time at which the entry of the endpoint was first read, in ms. */
  private readonly createdAt: number;
  private isClosed = false;

  constructor(options: EndpointClientOptions) {
    this.options = options;
    const { startedAt = 0, protocol, clock = new SystemClock(), onReplaced } = options;
    this.clock = clock;
    this.createdAt = clock.monotonic();
    this.proof = new ProcessProof({
      startedAt,
      protocol,
      connect: () => this.connect(),
      onReplaced: () => onReplaced?.(),
      onReleased: (connection) => this.release(connection),
      onFailed: (connection) => this.discard(connection),
    });
  }

  /** True when all connections are busy and the limit is reached. */
  get isFull(): boolean {
    return this.idle.length === 0 && this.connections.size >= this.options.connectionLimit;
  }

  /** Whether another process than the one that the endpoint's entry names has taken its place. */
  get isReplaced(): boolean {
    return this.proof.isReplaced;
  }

  /** Sends a request; the observer receives the response. */
  send(request: OutgoingRequest, observer: ResponseObserver): EndpointRequest {
    const connection = this.takeIdle(request) ?? this.connect();
    const endpointRequest = new EndpointRequest({
      requestId: request.requestId,
      protocol: this.options.protocol,
      observer,
      connection,
      proof: this.proof,
      method: request.method,
      isBound: request.isBound ?? false,
      onReleased: () => this.release(connection),
      onUnproved: () => void this.sendProved(connection, request, endpointRequest),
    });
    if (endpointRequest.canUse(connection)) connection.dispatch(request, endpointRequest);
    else void this.sendProved(connection, request, endpointRequest);
    return endpointRequest;
  }

  /** Records that the endpoint was in a list that was complete at monotonic time `at`, in ms. */
  recordListed(at: number): void {
    this.proof.recordListed(at);
  }

  /** Closes idle connections now, and the others when their requests end. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  /**
   * Closes the connections that lead to a process which has been replaced by one that started at `startedAt`, in ms
   * since the Unix epoch; 0 if unknown. The new process serves at the same address before its entry is read, so the
   * connections that were opened since then lead to it, and their requests go on. As the clocks of hosts differ, one over
   * which bytes still come is kept as well: a process that has ended sends nothing.
   */
  retire(startedAt: number): RetiredConnections {
    this.close();
    const openedSince = this.toMonotonic(startedAt) - CLOCK_TOLERANCE_MS;
    const doubtful = [...this.connections].filter(({ socket }) => socket.openedAt < openedSince);
    const seen = doubtful.map((connection) => ({
      connection,
      socket: connection.socket,
      bytesRead: connection.bytesRead,
    }));
    this.clock.afterPoll(SIGN_OF_LIFE_MS, () => {
      for (const { connection, socket, bytesRead } of seen) {
        const isSame = connection.socket === socket && connection.bytesRead === bytesRead;
        if (isSame && this.connections.has(connection)) this.discard(connection);
      }
    });
    return { kept: this.connections.size - doubtful.length, doubtful: doubtful.length };
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.isClosed = true;
    this.idle.length = 0;
    for (const connection of this.connections) this.discard(connection);
  }

  /**
   * Sends a bound request once the process behind its connection has proved to be the one that the entry names, if it
   * may still be sent then.
   */
  private async sendProved(
    connection: EndpointConnection,
    request: OutgoingRequest,
    endpointRequest: EndpointRequest,
  ): Promise<void> {
    const finding = await this.proof.askBehind(connection);
    if (!endpointRequest.isWaiting || !endpointRequest.canUse(connection)) {
      this.discard(connection);
      endpointRequest.refuse(finding);
      return;
    }
    const headers = request.renew?.() ?? request.headers;
    if (headers instanceof RequestError) {
      this.discard(connection);
      endpointRequest.withhold(headers);
      return;
    }
    connection.dispatch({ ...request, headers }, endpointRequest);
  }

  /**
   * Takes the most recently used idle connection on which no request with this id was refused; for a bound request, one
   * that leads to the listed process if there is one. If there are only others, one of them is closed, so that a new
   * connection stays within the limit.
   */
  private takeIdle({
    requestId,
    isBound = false,
  }: OutgoingRequest): EndpointConnection | undefined {
    const isUsable = ({ refusedIds }: EndpointConnection): boolean => !refusedIds.has(requestId);
    const isProved = ({ socket }: EndpointConnection): boolean => this.proof.covers(socket);
    const proved = isBound
      ? this.idle.findLastIndex((connection) => isUsable(connection) && isProved(connection))
      : -1;
    const index = proved >= 0 ? proved : this.idle.findLastIndex(isUsable);
    if (index >= 0) return this.idle.splice(index, 1)[0];
    const unusable = this.idle.pop();
    if (unusable !== undefined) this.discard(unusable);
    return undefined;
  }

  /** Monotonic time of the start of a process, in ms; infinite if that is unknown, or can't be right. */
  private toMonotonic(startedAt: number): number {
    const at = this.clock.monotonic() - (this.clock.now() - startedAt);
    const isPlausible = startedAt > 0 && at >= this.createdAt - MAX_ENTRY_LAG_MS;
    return isPlausible ? at : Number.POSITIVE_INFINITY;
  }

  private connect(): EndpointConnection {
    const { address, onOpening, isLate } = this.options;
    const { clock } = this;
    const connection = new EndpointConnection({ address, clock, onOpening, isLate });
    this.connections.add(connection);
    return connection;
  }

  /** Returns a connection to the pool; the most recently used one is reused first. */
  private release(connection: EndpointConnection): void {
    if (this.isClosed) this.discard(connection);
    else this.idle.push(connection);
  }

  private discard(connection: EndpointConnection): void {
    this.connections.delete(connection);
    connection.destroy();
  }
}
