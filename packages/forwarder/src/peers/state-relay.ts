/**
 * Passes knowledge of the store between routers: answers peers that ask, and asks one of them at a time
 * while this router has none that is fresh.
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

const PATH = '/state';

/** Time for a peer's whole answer, in ms: many round trips, and less than two questions. */
const ANSWER_LIMIT_MS = 500;

const CONNECT_LIMIT_MS = 300;

/** Range of the first choice of a peer, so that not all ask the same one. */
const TURNS = 1_000;

/** Options of a `StateRelay`. */
export interface StateRelayOptions {
  /** `IP:port` at which peers ask. */
  address: string;
  state: RouterState;
  /** Addresses of peers that may be asked. */
  peers: () => string[];
  /** Called when the clocks show that the host may have been suspended. */
  onSuspension: () => void;
}

/** Asks and answers. */
export class StateRelay {
  private readonly options: StateRelayOptions;
  private readonly server: Server;
  private readonly agent = new Agent({
    pipelining: 0,
    connect: { timeout: CONNECT_LIMIT_MS },
  });
  private timer: Timer | undefined;
  private unhelpful = 0;
  /** Counts the peers that were of no help, so that the next one is asked. */
  private turn = Math.floor(Math.random() * TURNS);
  private isHelped = false;
  private isClosed = false;

  constructor(options: StateRelayOptions) {
    this.options = options;
    this.server = createServer((question, response) => this.answer(question, response));
  }

  /** Listens, and begins to look whether knowledge is needed. Rejects when the address can't be had. */
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
    this.timer = clock.after(peerRequestDelayMs(this.unhelpful), () => {
      void this.ask().finally(() => this.schedule());
    });
  }

  private async ask(): Promise<void> {
    const { state, peers } = this.options;
    if (!needsPeerState(state.storeStateAge(), state.freshness.maxAgeMs)) {
      this.unhelpful = 0;
      this.isHelped = false;
      return;
    }
    const candidates = peers();
    const peer = candidates[this.turn % Math.max(1, candidates.length)];
    if (peer === undefined) return;
    try {
      const hasHelped = await this.askPeer(peer);
      state.metrics.recordControlCall(ControlCall.Peer, true);
      this.unhelpful = hasHelped ? 0 : this.unhelpful + 1;
      this.turn += hasHelped ? 0 : 1;
    } catch (error) {
      this.unhelpful += 1;
      this.turn += 1;
      state.metrics.recordControlCall(ControlCall.Peer, false);
      const reason = describeError(error).split('\n')[0];
      state.log.debug({ event: 'peers.state_not_told', peer, reason });
    }
  }

  /** Asks one peer; true where it knew better. */
  private async askPeer(peer: string): Promise<boolean> {
    const { state } = this.options;
    const { clock } = state;
    const askedAt = clock.monotonic();
    const offset = clock.now() - askedAt;
    const known = new URLSearchParams({
      version: String(state.routes?.table.version ?? ''),
      endpoints: hashEndpoints(state.endpoints.list()),
    });
    const { statusCode, body } = await request(`http://${peer}${PATH}?${known.toString()}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
    });
    const content = await body.json();
    if (statusCode !== 200) throw new Error(`status ${statusCode}`);
    const snapshot = stateSnapshotSchema.parse(content);
    const now = clock.monotonic();
    // The host may have been suspended meanwhile, so that the answer is older than it seems.
    if (clock.now() - now - offset > SUSPENSION_THRESHOLD_MS) return false;
    return this.take(peer, snapshot, askedAt, now);
  }

  private take(peer: string, snapshot: StateSnapshot, askedAt: number, now: number): boolean {
    const { state } = this.options;
    const own = state.storeStateAge();
    const taken = selectFresherState(own, ageOf(snapshot), askedAt, now);
    if (taken.routesConfirmedAt !== undefined) {
      if (snapshot.routes !== undefined) state.applyRoutingTable(snapshot.routes);
      state.freshness.confirm(taken.routesConfirmedAt);
    }
    if (taken.endpointsConfirmedAt !== undefined) {
      if (snapshot.endpoints !== undefined) state.endpoints.replaceAll(snapshot.endpoints);
      state.confirmEndpoints(taken.endpointsConfirmedAt);
    }
    const hasHelped =
      taken.routesConfirmedAt !== undefined || taken.endpointsConfirmedAt !== undefined;
    if (hasHelped && !this.isHelped) this.logTaken(peer, snapshot, taken);
    this.isHelped = hasHelped;
    return hasHelped;
  }

  private logTaken(peer: string, snapshot: StateSnapshot, taken: AcceptedPeerState): void {
    const { log, clock } = this.options.state;
    const now = clock.monotonic();
    log.info({
      event: 'peers.state_taken',
      peer,
      version: snapshot.version,
      key_age_ms: taken.routesConfirmedAt && Math.round(now - taken.routesConfirmedAt),
      endpoints_age_ms: taken.endpointsConfirmedAt && Math.round(now - taken.endpointsConfirmedAt),
    });
  }

  private answer(question: IncomingMessage, response: ServerResponse): void {
    const [path, query] = (question.url ?? '').split('?', 2);
    if (path !== PATH) {
      response.writeHead(404).end();
      return;
    }
    const snapshot = this.describe(new URLSearchParams(query));
    response.setHeader('Content-Type', 'application/json');
    response.end(JSON.stringify(snapshot));
  }

  private describe(known: URLSearchParams): StateSnapshot {
    const { state, onSuspension } = this.options;
    const { clock, freshness } = state;
    if (freshness.detectSuspension(clock.monotonic(), clock.now())) onSuspension();
    const { version, routesAgeMs, endpointsAgeMs } = state.storeStateAge();
    const endpoints = state.endpoints.list();
    const hasRoutes = known.get('version') === String(version ?? '');
    const hasEndpoints = known.get('endpoints') === hashEndpoints(endpoints);
    return {
      ...(Number.isFinite(routesAgeMs) ? { routesAgeMs } : {}),
      ...(Number.isFinite(endpointsAgeMs) ? { endpointsAgeMs } : {}),
      ...(version === undefined ? {} : { version }),
      ...(hasRoutes || state.routes === undefined ? {} : { routes: state.routes.table }),
      ...(hasEndpoints ? {} : { endpoints }),
    };
  }
}

function ageOf(snapshot: StateSnapshot): StoreStateAge {
  return {
    version: snapshot.version,
    routesAgeMs: snapshot.routesAgeMs ?? Number.POSITIVE_INFINITY,
    endpointsAgeMs: snapshot.endpointsAgeMs ?? Number.POSITIVE_INFINITY,
  };
}
