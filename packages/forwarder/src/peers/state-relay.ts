/**
 * Passes the state of the store (routes and endpoints) between routers over HTTP. Serves a snapshot to
 * peers, and requests one from one peer at a time while this router's own state is missing or stale, or while
 * the reports of peers name newer routes.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Agent, request } from 'undici';
import {
  selectFresherState,
  needsPeerState,
  peerRequestDelayMs,
  SUSPENSION_THRESHOLD_MS,
} from '@poplarpick/decisions';
import type { StoreStateAge, AcceptedPeerState } from '@poplarpick/decisions';
import { listenOn } from '@poplarpick/fleet/address';
import { describeError } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { ControlCall } from '../router-metrics.ts';
import type { RouterState } from '../router-state.ts';
import { stateSnapshotSchema, hashEndpoints } from './state-snapshot.ts';
import type { StateSnapshot } from './state-snapshot.ts';

const STATE_PATH = '/state';

/** Timeout for a peer's complete response, in ms: many round trips, and less than two request periods. */
const RESPONSE_TIMEOUT_MS = 500;

const CONNECT_TIMEOUT_MS = 300;

/** Range of the random index of the first peer, so that routers don't all ask the same one. */
const INITIAL_INDEX_RANGE = 1_000;

/** Options of a `StateRelay`. */
export interface StateRelayOptions {
  /** `IP:port` at which snapshots are served to peers. */
  address: string;
  state: RouterState;
  /** Addresses of the peers from which a snapshot may be requested. */
  peers: () => string[];
  /** Called when a comparison of the clocks shows that the host may have been suspended. */
  onSuspension: () => void;
}

/** Requests snapshots from peers and serves them. */
export class StateRelay {
  private readonly options: StateRelayOptions;
  private readonly server: Server;
  private readonly agent = new Agent({
    pipelining: 0,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  private timer: Timer | undefined;
  /** Consecutive requests that failed or brought nothing fresher. */
  private unhelpfulRequests = 0;
  /** Index of the peer to ask; advances when a peer was no help. */
  private peerIndex = Math.floor(Math.random() * INITIAL_INDEX_RANGE);
  /** Whether the last request brought fresher state; only a change to true is logged. */
  private wasLastFresher = false;
  private isClosed = false;

  constructor(options: StateRelayOptions) {
    this.options = options;
    this.server = createServer((request, response) => this.respond(request, response));
  }

  /** Listens and starts the periodic check for stale state. Rejects when the address can't be bound. */
  async open(): Promise<void> {
    await listenOn(this.server, this.options.address);
    this.schedule();
  }

  close(): void {
    this.isClosed = true;
    this.timer?.stop();
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy().catch(() => undefined);
  }

  private schedule(): void {
    if (this.isClosed) return;
    const { clock } = this.options.state;
    this.timer = clock.after(peerRequestDelayMs(this.unhelpfulRequests), () => {
      void this.requestIfStale().finally(() => this.schedule());
    });
  }

  private async requestIfStale(): Promise<void> {
    const { state, peers } = this.options;
    const own = state.storeStateAge();
    const ahead = state.peers.findAhead(own.version ?? 0, state.clock.monotonic());
    if (ahead.length === 0 && !needsPeerState(own, state.freshness.maxAgeMs)) {
      this.unhelpfulRequests = 0;
      this.wasLastFresher = false;
      return;
    }
    const candidates = ahead.length > 0 ? ahead : peers();
    const peer = candidates[this.peerIndex % Math.max(1, candidates.length)];
    if (peer === undefined) return;
    try {
      const isFresher = await this.requestFrom(peer);
      state.metrics.recordControlCall(ControlCall.Peer, true);
      this.unhelpfulRequests = isFresher ? 0 : this.unhelpfulRequests + 1;
      this.peerIndex += isFresher ? 0 : 1;
    } catch (error) {
      this.unhelpfulRequests += 1;
      this.peerIndex += 1;
      state.metrics.recordControlCall(ControlCall.Peer, false);
      const reason = describeError(error).split('\n')[0];
      state.log.debug({ event: 'peers.state_not_told', peer, reason });
    }
  }

  /** Requests a snapshot from one peer; true if it was fresher than this router's state. */
  private async requestFrom(peer: string): Promise<boolean> {
    const { state } = this.options;
    const { clock } = state;
    const requestedAt = clock.monotonic();
    const clockOffset = clock.now() - requestedAt;
    const query = new URLSearchParams({
      version: String(state.routes?.table.version ?? ''),
      endpoints: hashEndpoints(state.endpoints.list()),
    });
    const { statusCode, body } = await request(`http://${peer}${STATE_PATH}?${query.toString()}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const content = await body.json();
    if (statusCode !== 200) throw new Error(`status ${statusCode}`);
    const snapshot = stateSnapshotSchema.parse(content);
    const now = clock.monotonic();
    // The host may have been suspended during the request, so the response may be older than it seems.
    if (clock.now() - now - clockOffset > SUSPENSION_THRESHOLD_MS) return false;
    return this.applySnapshot(peer, snapshot, requestedAt, now);
  }

  private applySnapshot(
    peer: string,
    snapshot: StateSnapshot,
    requestedAt: number,
    now: number,
  ): boolean {
    const { state } = this.options;
    const ownAge = state.storeStateAge();
    const accepted = selectFresherState(ownAge, snapshotAge(snapshot), requestedAt, now);
    if (accepted.routesConfirmedAt !== undefined) {
      if (snapshot.routes !== undefined) state.applyRoutingTable(snapshot.routes);
      state.freshness.confirm(accepted.routesConfirmedAt);
    }
    if (accepted.endpointsConfirmedAt !== undefined) {
      if (snapshot.endpoints !== undefined) state.endpoints.replaceAll(snapshot.endpoints);
      state.confirmEndpoints(accepted.endpointsConfirmedAt);
    }
    const isFresher =
      accepted.routesConfirmedAt !== undefined || accepted.endpointsConfirmedAt !== undefined;
    if (isFresher && !this.wasLastFresher) this.logAccepted(peer, snapshot, accepted);
    this.wasLastFresher = isFresher;
    return isFresher;
  }

  private logAccepted(peer: string, snapshot: StateSnapshot, accepted: AcceptedPeerState): void {
    const { log, clock } = this.options.state;
    const now = clock.monotonic();
    log.info({
      event: 'peers.state_taken',
      peer,
      version: snapshot.version,
      key_age_ms: accepted.routesConfirmedAt && Math.round(now - accepted.routesConfirmedAt),
      endpoints_age_ms:
        accepted.endpointsConfirmedAt && Math.round(now - accepted.endpointsConfirmedAt),
    });
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
    const endpoints = state.endpoints.list();
    const hasSameRoutes = query.get('version') === String(version ?? '');
    const hasSameEndpoints = query.get('endpoints') === hashEndpoints(endpoints);
    return {
      ...(Number.isFinite(routesAgeMs) ? { routesAgeMs } : {}),
      ...(Number.isFinite(endpointsAgeMs) ? { endpointsAgeMs } : {}),
      ...(version === undefined ? {} : { version }),
      ...(hasSameRoutes || state.routes === undefined ? {} : { routes: state.routes.table }),
      ...(hasSameEndpoints ? {} : { endpoints }),
    };
  }
}

function snapshotAge(snapshot: StateSnapshot): StoreStateAge {
  return {
    version: snapshot.version,
    routesAgeMs: snapshot.routesAgeMs ?? Number.POSITIVE_INFINITY,
    endpointsAgeMs: snapshot.endpointsAgeMs ?? Number.POSITIVE_INFINITY,
  };
}
