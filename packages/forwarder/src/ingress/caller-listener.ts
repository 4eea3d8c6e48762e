/**
 * Accepts the connections of callers. libuv accepts one connection of a listening socket in each iteration
 * of the event loop. When many streams are active, an iteration takes long, so a single listening socket
 * would accept only a few connections a second and callers could not connect to a router that still says
 * that it is ready. Several listening sockets share the port instead, and the kernel spreads connections
 * over them.
 */
import { createServer } from 'node:net';
import type { Server as HttpServer } from 'node:http';
import type { Server } from 'node:net';
import { parseAddress } from '@poplarpick/fleet/address';
import type { Address } from '@poplarpick/fleet/address';
import type { ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';
import { describeError } from '@poplarpick/kernel';
import type { Logger } from '@poplarpick/kernel';

/** Number of listening sockets, and so of connections accepted in one iteration of the event loop. */
const LISTENING_SOCKETS = 8;

/**
 * Most connections that wait at one socket to be accepted. A longer queue would be served after its
 * callers have given up.
 */
const BACKLOG = 32;

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** `IP:port`. */
  address: string;
  /** Serves the accepted connections. */
  server: HttpServer;
  guard: ListenerGuard;
  log: Logger;
}

/** Listens for callers on several sockets. */
export class CallerListener {
  private readonly options: CallerListenerOptions;
  /** Further servers, which hand their connections to the HTTP server. */
  private readonly acceptors: Server[] = [];

  constructor(options: CallerListenerOptions) {
    this.options = options;
  }

  /** Starts listening. Rejects if the address can't be bound. */
  async open(): Promise<void> {
    const { server } = this.options;
    const { ip, port } = parseAddress(this.options.address);
    await listen(server, { ip, port });
    const boundPort = (server.address() as { port: number }).port;
    for (let count = 1; count < LISTENING_SOCKETS; count += 1) {
      if (!(await this.addAcceptor({ ip, port: boundPort }))) return;
    }
  }

  /** Accepts no more connections. */
  close(): void {
    if (this.options.server.listening) this.options.server.close();
    for (const acceptor of this.acceptors.splice(0)) acceptor.close();
  }

  /** Adds a listening socket; false if the system doesn't allow another one on the port. */
  private async addAcceptor(address: Address): Promise<boolean> {
    const { server, guard, log } = this.options;
    const acceptor = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
      server.emit('connection', socket);
    });
    guard.watch(acceptor);
    try {
      await listen(acceptor, address);
    } catch (error) {
      const sockets = this.acceptors.length + 1;
      log.warn({ event: 'callers.port_not_shared', sockets, error: describeError(error) });
      return false;
    }
    this.acceptors.push(acceptor);
    return true;
  }
}

async function listen(server: Server, { ip, port }: Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: ip, port, backlog: BACKLOG, reusePort: true }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
