/**
 * The connections of callers. The requests on one connection are served one after another: a response may
 * end the connection, and a request behind it that had been passed on would be lost with it. Bytes that the
 * HTTP parser rejects end a connection only after the responses to the whole requests before them.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { LinkBytes } from '../byte-rates.ts';

/** Open connections that have had a request, by their sockets. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** The connection of a socket. */
  of(socket: Socket): CallerConnection {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
    const connection = new CallerConnection(socket);
    if (socket.destroyed) return connection;
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    return connection;
  }

  /**
   * Lets the connections that are idle now stay open for this time, counted from now, in ms. Those that may
   * stay longer keep their time, since their callers were told it with the latest response.
   */
  extendIdleTimeout(timeoutMs: number): void {
    for (const [socket, connection] of this.connections) {
      if (connection.isIdle && (socket.timeout ?? 0) < timeoutMs) socket.setTimeout(timeoutMs);
    }
  }
}

/** A request and its open response. */
interface OpenExchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** One connection of a caller. */
export class CallerConnection {
  /** In the order of the requests. */
  private exchanges: OpenExchange[] = [];
  private readonly socket: Socket;
  /** Last bytes to send, once the responses that are still due have ended. */
  private rejection: string | undefined;
  /** Bytes of the socket that were counted before. */
  private counted: LinkBytes = { received: 0, sent: 0 };

  constructor(socket: Socket) {
    this.socket = socket;
  }

  /** No response is due. */
  get isIdle(): boolean {
    return this.exchanges.length === 0;
  }

  /** Bytes that were received and sent since the previous call. */
  takeBytes(): LinkBytes {
    const { counted } = this;
    const { bytesRead: received, bytesWritten: sent } = this.socket;
    this.counted = { received, sent };
    return { received: received - counted.received, sent: sent - counted.sent };
  }

  /** Adds a request. Resolves when the responses to all earlier ones have ended. */
  async add(exchange: OpenExchange): Promise<void> {
    const previous = this.exchanges.at(-1);
    if (this.rejection === undefined) this.exchanges.push(exchange);
    exchange.response.once('close', () => this.remove(exchange));
    if (previous === undefined) return;
    await new Promise<void>((resolve) => previous.response.once('close', resolve));
  }

  /** Ends the connection with a response to what follows its whole requests, after their responses. */
  rejectRest(rejection: string): void {
    if (this.rejection !== undefined) return;
    this.rejection = rejection;
    this.exchanges = this.exchanges.filter(isAnswerDue);
    this.endIfRejected();
  }

  private endIfRejected(): void {
    if (this.rejection === undefined || this.exchanges.length > 0) return;
    if (this.socket.writable) this.socket.end(this.rejection);
  }

  private remove(exchange: OpenExchange): void {
    const index = this.exchanges.indexOf(exchange);
    if (index >= 0) this.exchanges.splice(index, 1);
    this.endIfRejected();
  }
}

/** Whether a response belongs to a whole request or has begun. */
function isAnswerDue({ request, response }: OpenExchange): boolean {
  return request.complete || response.headersSent;
}
