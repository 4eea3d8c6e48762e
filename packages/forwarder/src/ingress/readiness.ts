/** Serves the readiness check with which the platform's load balancer decides on new connections. */
import type { Server } from 'node:http';
import { listenOn } from '@poplarpick/fleet/address';
import { SHORT_EXCHANGES } from '@poplarpick/fleet/listening/listener-guard';
import type { ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';

/** Options of a `ReadinessServer`. */
export interface ReadinessServerOptions {
  address: string;
  guard: ListenerGuard;
  path: string;
  isReady: () => boolean;
}

/** Responds with status 200 when ready, and 503 otherwise. */
export class ReadinessServer {
  private readonly options: ReadinessServerOptions;
  private readonly server: Server;

  constructor(options: ReadinessServerOptions) {
    this.options = options;
    this.server = options.guard.createHttpServer(SHORT_EXCHANGES, (request, response) => {
      const isKnown = request.url?.split('?', 1)[0] === options.path;
      response.statusCode = isKnown ? this.status() : 404;
      response.end();
    });
  }

  async open(): Promise<void> {
    await listenOn(this.server, this.options.address);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private status(): number {
    return this.options.isReady() ? 200 : 503;
  }
}
