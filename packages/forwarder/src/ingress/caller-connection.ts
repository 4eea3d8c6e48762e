/**
 * The connections of callers. The requests on one connection are served one after another: a response may
 * end the connection, and a request behind it that had been passed on would be lost with it.
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
    const connection = new CallerConnection();
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
  private readonly exchanges: OpenExchange[] = [];

  /** Adds a request. Resolves when the responses to all earlier ones have ended. */
  async add(exchange: OpenExchange): Promise<void> {
    const previous = this.exchanges.at(-1);
    this.exchanges.push(exchange);
    exchange.response.once('close', () => this.remove(exchange));
    if (previous === undefined) return;
    await new Promise<void>((resolve) => previous.response.once('close', resolve));
  }

  private remove(exchange: OpenExchange): void {
    const index = this.exchanges.indexOf(exchange);
    if (index >= 0) this.exchanges.splice(index, 1);
  }
}
