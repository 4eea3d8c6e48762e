/** Serves a router's copy of the store's state (routes, endpoints and evacuations) to its peers over HTTP. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listenOn } from '@poplarpick/fleet/address';
import type { RouterState } from '../router-state.ts';
import type { StateSnapshot } from './state-snapshot.ts';

/** Path of the snapshot. */
export const STATE_PATH = '/state';

/** Options of a `StateServer`. */
export interface StateServerOptions {
  /** `IP:port`. */
  address: string;
  state: RouterState;
  /** Called when a comparison of the clocks shows that the host may have been suspended. */
  onSuspension: () => void;
}

/** Serves snapshots. */
export class StateServer {
  private readonly options: StateServerOptions;
  private readonly server: Server;

  constructor(options: StateServerOptions) {
    this.options = options;
    this.server = createServer((request, response) => this.respond(request, response));
  }

  /** Rejects when the address can't be bound. */
  async open(): Promise<void> {
    await listenOn(this.server, this.options.address);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private respond(request: IncomingMessage, response: ServerResponse): void {
    const [path, query] = (request.url ?? '').split('?', 2);
    if (path !== STATE_PATH) {
      response.writeHead(404).end();
      return;
    }
    const snapshot = this.buildSnapshot(new URLSearchParams(query));
    response.setHeader('Content-Type', 'application/json');
    response.end(JSON.stringify(snapshot));
  }

  private buildSnapshot(query: URLSearchParams): StateSnapshot {
    const { state, onSuspension } = this.options;
    const { clock, freshness } = state;
    if (freshness.detectSuspension(clock.monotonic(), clock.now())) onSuspension();
    const { version, routesAgeMs, endpointsAgeMs } = state.storeStateAge();
    const readAgeMs = state.storeReadAgeMs();
    const hasSameRoutes = query.get('version') === String(version ?? '');
    const hasSameEndpoints = query.get('endpoints') === state.endpointsHash();
    return {
      ...(Number.isFinite(routesAgeMs) ? { routesAgeMs } : {}),
      ...(Number.isFinite(endpointsAgeMs) ? { endpointsAgeMs } : {}),
      ...(Number.isFinite(readAgeMs) ? { readAgeMs } : {}),
      ...(version === undefined ? {} : { version }),
      ...(hasSameRoutes || state.routes === undefined ? {} : { routes: state.routes.table }),
      ...(hasSameEndpoints ? {} : { endpoints: state.endpoints.list() }),
      evacuated: state.evacuations.list(),
    };
  }
}
