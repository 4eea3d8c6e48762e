/**
 * The connections of callers. The requests on one connection are served one after another: a response may
 * end the connection, and a request behind it that had been passed on would be lost with it. Bytes that the
 * HTTP parser rejects end a connection only after the responses to the whole requests before them.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Connections with requests, by their sockets. */
export class CallerConnections {
  private readonly connections = new WeakMap<Duplex, CallerConnection>();

  /** The connection of a socket. */
  of(socket: Duplex): CallerConnection {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
    const connection = new CallerConnection(socket);
    this.connections.set(socket, connection);
    return connection;
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
  private readonly socket: Duplex;
  /** Last bytes to send, once the responses that are still due have ended. */
  private rejection: string | undefined;

  constructor(socket: Duplex) {
    this.socket = socket;
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
