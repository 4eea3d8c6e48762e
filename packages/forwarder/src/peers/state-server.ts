/**
 * Serves a router's copy of the store's state (routes, endpoints and evacuations) to its peers over HTTP, and to
 * operators the explanation of where a request would go.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listenOn } from '@poplarpick/fleet/address';
import { readBody } from '@poplarpick/fleet/callers/read-body';
import { SHORT_EXCHANGES } from '@poplarpick/fleet/listening/listener-guard';
import type { ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';
import { describeError, RequestError } from '@poplarpick/kernel';
import { routeQuestionSchema } from '../explain/route-explainer.ts';
import type { RouteExplainer } from '../explain/route-explainer.ts';
import type { RouterState } from '../router-state.ts';
import type { StateSnapshot } from './state-snapshot.ts';

/** Path of the snapshot. */
export const STATE_PATH = '/state';

/** Path at which the route of a request is explained. */
export const WHERE_PATH = '/where';

/** Parameter of the snapshot by which a router asks for a list of endpoints that is confirmed at once. */
export const CONFIRM_PARAMETER = 'confirm';

/** Longest time that such a request waits for the confirmation, in ms: less than the requesting router waits. */
const MAX_CONFIRMATION_WAIT_MS = 300;

/** Largest description of a request, in bytes. */
const MAX_QUESTION_BYTES = 65_536;

/** Options of a `StateServer`. */
export interface StateServerOptions {
  /** `IP:port`. */
  address: string;
  guard: ListenerGuard;
  state: RouterState;
  explainer: Pick<RouteExplainer, 'explain'>;
  /** Called when a comparison of the clocks shows that the host may have been suspended. */
  onSuspension: () => void;
}

/** Serves snapshots. */
export class StateServer {
  private readonly options: StateServerOptions;
  private readonly server: Server;

  constructor(options: StateServerOptions) {
    this.options = options;
    this.server = options.guard.createHttpServer(SHORT_EXCHANGES, (request, response) =>
      this.respond(request, response),
    );
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
    if (path === WHERE_PATH && request.method === 'POST') {
      void this.explain(request, response);
      return;
    }
    if (path !== STATE_PATH) {
      response.writeHead(404).end();
      return;
    }
    void this.sendSnapshot(new URLSearchParams(query), response);
  }

  private async sendSnapshot(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const isConfirmed = query.has(CONFIRM_PARAMETER) && (await this.confirmEndpoints());
    const snapshot = this.buildSnapshot(query);
    response.setHeader('Content-Type', 'application/json');
    response.end(JSON.stringify(isConfirmed ? { ...snapshot, isConfirmed } : snapshot));
  }

  /** Whether the list of endpoints is confirmed as complete at a time after this call. */
  private async confirmEndpoints(): Promise<boolean> {
    const { clock, streams } = this.options.state;
    return streams.confirmations.waitSince(clock.monotonic(), MAX_CONFIRMATION_WAIT_MS);
  }

  private async explain(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.setHeader('Content-Type', 'application/json');
    try {
      const text = await this.readQuestion(request, response);
      const question = routeQuestionSchema.parse(JSON.parse(text));
      response.end(JSON.stringify(this.options.explainer.explain(question)));
    } catch (error) {
      const message = error instanceof RequestError ? error.message : describeError(error);
      const status = error instanceof RequestError ? error.status : 400;
      response.writeHead(status).end(JSON.stringify({ error: message.split('\n')[0] }));
    }
  }

  /** Reads a body as text. Rejects if it is too large, or if there is no memory for it. */
  private async readQuestion(request: IncomingMessage, response: ServerResponse): Promise<string> {
    const body = await readBody(request, {
      response,
      limitBytes: MAX_QUESTION_BYTES,
      budget: this.options.state.listeners.budget,
      owner: request.socket.remoteAddress ?? '',
    });
    return body.toString('utf8');
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
