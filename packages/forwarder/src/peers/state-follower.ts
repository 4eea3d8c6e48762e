/**
 * Gets the state of the store (routes and endpoints) from other routers over HTTP. A router that follows a
 * reader of its data centre asks it several times a second. Any router asks its peers one after the other
 * while its own state is missing or gets too old, or while the reports of some of them name newer routes.
 */
import { Agent, request } from 'undici';
import {
  needsPeerState,
  oldestAgeMs,
  peerRequestDelayMs,
  RecentFailures,
  selectFresherState,
  StoreReaderPolicy,
  SUSPENSION_THRESHOLD_MS,
} from '@poplarpick/decisions';
import type { AcceptedPeerState, StoreAccess, StoreStateAge } from '@poplarpick/decisions';
import { LARGE_ANSWER_BYTES, readBoundedJson } from '@poplarpick/fleet/bounded-body';
import { describeError } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { ControlCall } from '../router-metrics.ts';
import type { RouterState } from '../router-state.ts';
import { CONFIRM_PARAMETER, STATE_PATH } from './state-server.ts';
import { stateSnapshotSchema } from './state-snapshot.ts';
import type { StateSnapshot } from './state-snapshot.ts';
import type { PeerReport } from './peer-table.ts';

/** Timeout for a peer's complete response, in ms: many round trips. */
const RESPONSE_TIMEOUT_MS = 500;

const CONNECT_TIMEOUT_MS = 300;

/** Period of the decisions on how to get the state, in ms. */
const CHECK_PERIOD_MS = 100;

/** Time between two requests to the router that is followed, in ms. */
const FOLLOW_PERIOD_MS = 300;

/** Time between two requests of a reader to the router that it could follow again, in ms. */
const RETURN_PERIOD_MS = 1_000;

/**
 * Age of the state in ms from which any router with a fresher one is asked. Neither the store nor a reader lets
 * it get so old while they respond.
 */
const STALE_AGE_MS = 1_600;

/** Least difference in ms by which another router's state must be fresher to be worth a request. */
const MIN_GAIN_MS = 300;

/** Range of the random index of the first peer, so that routers don't all ask the same one. */
const INITIAL_INDEX_RANGE = 1_000;

/** Time after the first start of the whole system in which routers get to know each other, in ms. */
const FIRST_START_GRACE_MS = 1_500;

/** Options of a `StateFollower`. */
export interface StateFollowerOptions {
  /** `IP:port` by which the peers know this router. */
  address: string;
  state: RouterState;
  /** The whole system starts for the first time. */
  isFirstStart: boolean;
  /** Latest reports of the live routers of the same data centre. */
  localReports: () => PeerReport[];
  /** Addresses of all peers from which the state may be requested. */
  peers: () => string[];
  /** Called with whether this router has to read the store, when that changes. */
  onReaderChange: (isReader: boolean) => void;
  /** Called when a router that reads the store has replaced its endpoints with the list of a peer. */
  onEndpointsReplaced: () => void;
}

/** Requests snapshots from other routers, and decides whether this one reads the store. */
export class StateFollower {
  private readonly options: StateFollowerOptions;
  private readonly policy: StoreReaderPolicy;
  private readonly agent = new Agent({
    pipelining: 1,
    connections: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  private timer: Timer | undefined;
  private isReader = false;
  /** Monotonic time of the latest request, in ms. */
  private requestedAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time before which no peer is asked of which nothing fresher is known, in ms. */
  private nextBlindRequestAt = Number.NEGATIVE_INFINITY;
  /** Consecutive requests to such peers that failed or brought nothing fresher. */
  private unhelpfulRequests = 0;
  /** Index of the peer to ask blindly; advances when a peer was no help. */
  private peerIndex = Math.floor(Math.random() * INITIAL_INDEX_RANGE);
  /** Whether the last request brought fresher state from a peer that isn't followed; only a change is logged. */
  private wasLastTaken = false;
  private isRequesting = false;
  /** The router that is followed should confirm the list of endpoints at once. */
  private shouldConfirm = false;
  /** Routers that didn't answer or had nothing fresher; they aren't asked again for a while. */
  private readonly failures = new RecentFailures();

  constructor(options: StateFollowerOptions) {
    this.options = options;
    const { state, address, isFirstStart } = options;
    const startedAt = state.clock.monotonic();
    this.policy = new StoreReaderPolicy({
      address,
      dataCentre: state.dataCentre,
      maxStateAgeMs: state.freshness.maxAgeMs,
      firstReadAt: isFirstStart ? startedAt + FIRST_START_GRACE_MS : undefined,
    });
  }

  /** Starts to decide and to ask. */
  open(): void {
    this.check();
    this.timer = this.options.state.clock.every(CHECK_PERIOD_MS, () => this.check());
  }

  /** Asks the router that is followed, if any, to confirm the list of endpoints at once. */
  confirm(): void {
    if (this.isReader || this.shouldConfirm) return;
    this.shouldConfirm = true;
    this.check();
  }

  close(): void {
    this.timer?.stop();
    this.agent.destroy().catch(() => undefined);
  }

  private check(): void {
    const { state, localReports } = this.options;
    const now = state.clock.monotonic();
    const own = state.storeStateAge();
    const ageMs = oldestAgeMs(own);
    const nearby = localReports().map(({ from, readAgeMs }) => ({ address: from, readAgeMs }));
    const access = this.policy.decide(nearby, ageMs, now);
    this.setReader(access.isReader, ageMs);
    if (this.isRequesting) return;
    const target = this.selectTarget(access, own, now);
    if (target === undefined) return;
    this.isRequesting = true;
    this.requestedAt = now;
    void this.ask(target, access).finally(() => (this.isRequesting = false));
  }

  private setReader(isReader: boolean, ageMs: number): void {
    if (isReader === this.isReader) return;
    this.isReader = isReader;
    const { state, onReaderChange } = this.options;
    const age = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    state.log.info({ event: isReader ? 'store.reading' : 'store.following', age_ms: age });
    onReaderChange(isReader);
  }

  /**
   * The router to ask now, if any: one with newer routes, the freshest one if the state is stale, any peer if
   * none says that it is fresher and the state is too old, or else the source.
   */
  private selectTarget(access: StoreAccess, own: StoreStateAge, now: number): string | undefined {
    if (this.shouldConfirm && access.source !== undefined) return access.source;
    const sinceRequestMs = now - this.requestedAt;
    if (sinceRequestMs < FOLLOW_PERIOD_MS) return undefined;
    const { state } = this.options;
    const ageMs = oldestAgeMs(own);
    const fresher =
      this.pick(this.findAhead(own, now)) ??
      (ageMs >= STALE_AGE_MS ? this.selectFreshest(ageMs, now) : undefined);
    if (fresher !== undefined) return fresher;
    if (needsPeerState(own, state.freshness.maxAgeMs)) return this.selectBlindly(now);
    this.unhelpfulRequests = 0;
    const isDue = sinceRequestMs >= (access.isReader ? RETURN_PERIOD_MS : FOLLOW_PERIOD_MS);
    return isDue ? access.source : undefined;
  }

  /** The routers that report newer routes, without those that didn't help lately. */
  private findAhead(own: StoreStateAge, now: number): string[] {
    const ahead = this.options.state.peers.findAhead(own.version ?? 0, now);
    return ahead.filter((address) => !this.failures.has(address, now));
  }

  /** Any peer, less and less often while that doesn't help. */
  private selectBlindly(now: number): string | undefined {
    if (now < this.nextBlindRequestAt) return undefined;
    this.nextBlindRequestAt = now + peerRequestDelayMs(this.unhelpfulRequests);
    this.unhelpfulRequests += 1;
    this.peerIndex += 1;
    return this.pick(this.options.peers());
  }

  /** The router that reports the freshest state, if that is fresher than this router's by more than a little. */
  private selectFreshest(ageMs: number, now: number): string | undefined {
    let freshest: string | undefined;
    let leastAgeMs = ageMs - MIN_GAIN_MS;
    for (const { from, stateAgeMs } of this.options.state.peers.live(now)) {
      if (stateAgeMs === undefined || stateAgeMs >= leastAgeMs) continue;
      if (this.failures.has(from, now)) continue;
      freshest = from;
      leastAgeMs = stateAgeMs;
    }
    return freshest;
  }

  private pick(candidates: readonly string[]): string | undefined {
    return candidates[this.peerIndex % Math.max(1, candidates.length)];
  }

  private async ask(target: string, access: StoreAccess): Promise<void> {
    const { state } = this.options;
    try {
      const isSource = target === access.source;
      const isFresher = await this.requestFrom(target, isSource);
      state.metrics.recordControlCall(ControlCall.Peer, true);
      if (isFresher) this.unhelpfulRequests = 0;
      else if (!isSource) this.failures.record(target, state.clock.monotonic());
    } catch (error) {
      state.metrics.recordControlCall(ControlCall.Peer, false);
      const now = state.clock.monotonic();
      if (target === access.source) this.policy.recordFailure(target, now);
      this.failures.record(target, now);
      const reason = describeError(error).split('\n')[0];
      state.log.debug({ event: 'peers.state_not_told', peer: target, reason });
    }
  }

  /** Requests a snapshot from one peer; true if it was fresher than this router's state. */
  private async requestFrom(peer: string, isSource: boolean): Promise<boolean> {
    const { state } = this.options;
    const { clock } = state;
    const requestedAt = clock.monotonic();
    const clockOffset = clock.now() - requestedAt;
    const query = new URLSearchParams({
      version: String(state.routes?.table.version ?? ''),
      endpoints: state.endpointsHash(),
      ...(this.shouldConfirm ? { [CONFIRM_PARAMETER]: '1' } : {}),
    });
    this.shouldConfirm = false;
    const { statusCode, body } = await request(`http://${peer}${STATE_PATH}?${query.toString()}`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const content = await readBoundedJson(body, LARGE_ANSWER_BYTES);
    if (statusCode !== 200) throw new Error(`status ${statusCode}`);
    const snapshot = stateSnapshotSchema.parse(content);
    const now = clock.monotonic();
    // The host may have been suspended during the request, so the response may be older than it seems.
    if (clock.now() - now - clockOffset > SUSPENSION_THRESHOLD_MS) return false;
    const age = snapshotAge(snapshot);
    if (isSource)
      this.policy.recordAnswer(peer, snapshot.readAgeMs ?? Number.POSITIVE_INFINITY, now);
    const accepted = selectFresherState(state.storeStateAge(), age, requestedAt, now);
    return this.applySnapshot(peer, snapshot, accepted, isSource);
  }

  private applySnapshot(
    peer: string,
    snapshot: StateSnapshot,
    accepted: AcceptedPeerState,
    isSource: boolean,
  ): boolean {
    const { state } = this.options;
    if (accepted.routesConfirmedAt !== undefined) {
      if (snapshot.routes !== undefined) state.applyRoutingTable(snapshot.routes);
      state.freshness.confirm(accepted.routesConfirmedAt);
    }
    const hasFresherEndpoints = this.applyEndpoints(snapshot, accepted);
    const isFresher = accepted.routesConfirmedAt !== undefined || hasFresherEndpoints;
    const isTaken = isFresher && !isSource;
    if (isTaken && !this.wasLastTaken) this.logAccepted(peer, snapshot, accepted);
    this.wasLastTaken = isTaken;
    return isFresher;
  }

  /**
   * Applies the endpoints of a snapshot; true if they are fresher. A router that reads the store takes them only
   * while its own are stale: its list may be newer than the last confirmation tells, and a deletion that it has
   * seen would not be repeated.
   */
  private applyEndpoints(
    { endpoints, evacuated }: StateSnapshot,
    { endpointsConfirmedAt }: AcceptedPeerState,
  ): boolean {
    const { state, onEndpointsReplaced } = this.options;
    if (endpointsConfirmedAt === undefined) return false;
    if (this.isReader && state.storeStateAge().endpointsAgeMs < STALE_AGE_MS) return false;
    if (endpoints !== undefined) {
      state.endpoints.replaceAll(endpoints);
      if (this.isReader) onEndpointsReplaced();
    }
    if (evacuated !== undefined) state.evacuations.replaceAll(evacuated);
    state.confirmEndpoints(endpointsConfirmedAt);
    return true;
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
}

function snapshotAge(snapshot: StateSnapshot): StoreStateAge {
  return {
    version: snapshot.version,
    routesAgeMs: snapshot.routesAgeMs ?? Number.POSITIVE_INFINITY,
    endpointsAgeMs: snapshot.isConfirmed
      ? 0
      : (snapshot.endpointsAgeMs ?? Number.POSITIVE_INFINITY),
  };
}
