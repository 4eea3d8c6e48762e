/**
 * In-memory state of one router that its decisions use: routes, endpoints and their load, latency
 * estimates, the prefix cache index, the fair-share ledger and the retry budgets. A restarted process
 * rebuilds it from the store and from its peers' reports.
 */
import murmurhash from 'murmurhash';
import {
  KeyFreshness,
  LogRateLimiter,
  PrefixCacheIndex,
  RouteIndex,
  incarnationOf,
  isRegionAllowed,
  oldestAgeMs,
} from '@poplarpick/decisions';
import type {
  CallerLimits,
  ConnectionLimits,
  Endpoint,
  HashedSegment,
  PeerLateRate,
  StoreStateAge,
  Route,
  RoutingTable,
} from '@poplarpick/decisions';
import type { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import type { Clock, Logger, LogOutput } from '@poplarpick/kernel';
import { connectionShare } from './endpoints/connection-share.ts';
import { EndpointClient } from './endpoints/endpoint-client.ts';
import { EndpointDirectory } from './endpoints/endpoint-directory.ts';
import { isIdle } from './endpoints/endpoint-idleness.ts';
import type { EndpointRecord } from './endpoints/endpoint-directory.ts';
import { Evacuations } from './endpoints/evacuations.ts';
import { LimitTracker } from './endpoints/limit-tracker.ts';
import { WarmUpTracker } from './endpoints/warm-up-tracker.ts';
import type { CallProtocol } from './calls/call-protocol.ts';
import { HedgeBudgets } from './calls/hedge-budgets.ts';
import { PeerTable } from './peers/peer-table.ts';
import type { CachedSegmentEntry, PeerReport } from './peers/peer-table.ts';
import { RouterReports } from './peers/router-reports.ts';
import type { ReportHead } from './peers/router-reports.ts';
import { EventLoopMonitor } from './event-loop-monitor.ts';
import { LinkMonitor } from './link-monitor.ts';
import { PlannedStop } from './planned-stop.ts';
import { createListeners } from './process-limits.ts';
import { PoolStates } from './pool-states.ts';
import type { RouterBounds, RouterStateOptions } from './router-options.ts';
import { PoisonGuard } from './poison/poison-guard.ts';
import { RouterMetrics } from './router-metrics.ts';
import { createMetricsSource } from './metrics-source.ts';
import { StreamOrigins } from './streams/stream-origins.ts';
import { WorkspaceShares } from './workspace-shares.ts';
import { hashEndpoints } from './peers/state-snapshot.ts';
import type { ReportBody } from './peers/report-exchange.ts';

/** Limits for callers until the first routing table arrives with the site's own. */
const INITIAL_CALLER_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** In-memory state of one router. */
export class RouterState {
  readonly clock: Clock;
  readonly log: Logger;
  readonly dataCentre: string;
  readonly bounds: RouterBounds;
  readonly protocol: CallProtocol;
  readonly logOutput: LogOutput | undefined;
  readonly random: () => number;
  readonly freshness: KeyFreshness;
  readonly endpoints: EndpointDirectory;
  readonly peers = new PeerTable();
  readonly prefixCacheIndex = new PrefixCacheIndex();
  readonly logRateLimiter = new LogRateLimiter();
  readonly eventLoop: EventLoopMonitor;
  readonly link: LinkMonitor;
  readonly poison: PoisonGuard;
  readonly limits: LimitTracker;
  readonly hedges: HedgeBudgets;
  readonly warmUps: WarmUpTracker;
  readonly evacuations: Evacuations;
  readonly shares: WorkspaceShares;
  readonly streams: StreamOrigins;
  readonly pools: PoolStates;
  readonly stop: PlannedStop;
  readonly metrics: RouterMetrics;
  readonly listeners: ProcessListeners;
  readonly connectionLimits: ConnectionLimits;
  private readonly regions: ReadonlyMap<string, string>;
  private readonly reports: RouterReports;
  /** Hash of the list of endpoints, and the state of the directory that it belongs to. */
  private listHash: { hash: string; changes: number } | undefined;
  private routeIndex: RouteIndex | undefined;
  private readonly routesListeners: (() => void)[] = [];
  /** Monotonic time at which this router itself last read the store, in ms. */
  private storeReadAt = Number.NEGATIVE_INFINITY;

  constructor(options: RouterStateOptions) {
    this.clock = options.clock;
    this.log = options.log;
    this.dataCentre = options.dataCentre;
    this.bounds = options.bounds;
    this.protocol = options.protocol;
    this.logOutput = options.logOutput;
    this.random = options.random ?? Math.random;
    this.regions = options.regions ?? new Map<string, string>();
    this.pools = new PoolStates(options.bounds);
    this.stop = new PlannedStop(options.clock);
    this.freshness = new KeyFreshness({ revocationMs: options.bounds.revocationMs });
    const { clock, log } = options;
    this.eventLoop = new EventLoopMonitor({ clock, log });
    this.link = new LinkMonitor({ clock, log, eventLoop: this.eventLoop });
    const { listeners, connectionLimits } = createListeners(options);
    this.listeners = listeners;
    this.connectionLimits = connectionLimits;
    this.metrics = new RouterMetrics(createMetricsSource(this));
    this.listeners.addRecorder(this.metrics);
    this.hedges = new HedgeBudgets(options.hedgeExtraWork);
    this.poison = new PoisonGuard({
      clock: options.clock,
      log: options.log,
      findEndpoint: (hash) => this.endpoints.findByHash(hash),
      random: this.random,
    });
    this.endpoints = new EndpointDirectory({
      clock: options.clock,
      log: options.log,
      random: this.random,
      createClient: (endpoint) =>
        new EndpointClient({
          address: endpoint.address,
          connectionLimit: connectionShare(this.routeIndex?.findPool(endpoint.pool)),
          protocol: options.protocol,
          startedAt: endpoint.startedAt,
          clock: options.clock,
          onOpening: (elapsedMs) => this.link.recordOpening(endpoint.address, elapsedMs),
          isLate: () => this.link.isLate,
          onReplaced: () => this.logReplaced(endpoint),
        }),
      isEvacuated: (dataCentre) => this.evacuations.has(dataCentre),
      onEntry: (record) => this.warmUps.recordEntry(record),
      onRemoved: (record) => this.removeEndpointState(record),
      onVersionChange: (previous) => this.streams.recordDeparted(previous),
      onDrain: ({ endpoint }, source) => this.metrics.recordDrain(endpoint.pool, source),
      onPause: ({ endpoint }) => this.metrics.recordPause(endpoint.pool),
    });
    this.streams = new StreamOrigins({
      clock: options.clock,
      isFirstStart: options.isFirstStart ?? false,
      endpoints: () => this.endpoints.list(),
      listsPrompts: ({ pool }) =>
        this.routeIndex === undefined || this.routeIndex.findPool(pool)?.batch !== undefined,
      hasRouterEnded: () => this.peers.hasLostSender(this.clock.monotonic()),
    });
    this.limits = new LimitTracker({
      clock: options.clock,
      log: options.log,
      endpoints: this.endpoints,
      peers: this.peers,
    });
    const { address = '' } = options;
    this.warmUps = new WarmUpTracker({
      clock: options.clock,
      log: options.log,
      address,
      endpoints: this.endpoints,
      ratePerSecond: (pool) => this.routeIndex?.findPool(pool)?.warmUpPerSecond,
      routersOf: options.routersOf ?? (() => [address]),
    });
    this.evacuations = new Evacuations({
      log: options.log,
      countEndpoints: (dataCentre) =>
        this.endpoints.list().filter((endpoint) => endpoint.dataCentre === dataCentre).length,
      onReturned: (dataCentre) => this.warmUps.recordReturned(dataCentre),
    });
    this.shares = new WorkspaceShares({
      clock: options.clock,
      windowMs: options.bounds.shareWindowMs,
      endpoints: this.endpoints,
      routes: () => this.routeIndex,
      log: options.log,
      readPeerUsage: (now) => this.peers.workspaceUsage(now),
      readUsageAgeMs: (now) => this.peers.usageAgeMs(now),
      readContention: () => this.contention(),
      readLoopUtilization: () => this.eventLoop.utilization,
      isHeldBack: (record) =>
        this.evacuations.has(record.endpoint.dataCentre) || this.warmUps.isCold(record),
      isIdle: (record) =>
        isIdle(record, {
          streamPace: this.pools.streamPace(record.endpoint.pool),
          isExhausted: this.limits.isExhausted(record),
          now: options.clock.monotonic(),
        }),
      onRefused: (fingerprint) => this.reports.announceRefusal(fingerprint),
    });
    this.reports = new RouterReports({
      clock: options.clock,
      endpoints: this.endpoints,
      fairShareLedger: this.shares.ledger,
      limits: this.limits,
      poison: this.poison,
      refusedRequests: this.shares.refusedRequests,
      streams: this.streams,
      surplusLimiters: this.pools.surplusLimiters,
      streamPace: (pool) => this.pools.streamPace(pool),
      describeState: () => this.describeState(),
      onCachedSegment: (entry) => this.applyCachedSegment(entry),
    });
  }

  /** The current routes; undefined until the first routing table arrives. */
  get routes(): RouteIndex | undefined {
    return this.routeIndex;
  }

  /** Size and time limits for requests of callers. */
  get callerLimits(): CallerLimits {
    return this.routeIndex?.table.limits ?? INITIAL_CALLER_LIMITS;
  }

  /** Applies a routing table, unless the current one has the same or a newer version. */
  applyRoutingTable(table: RoutingTable): void {
    if (this.routeIndex !== undefined && table.version <= this.routeIndex.table.version) return;
    this.routeIndex = new RouteIndex(table);
    this.streams.recordRoutes(table);
    this.stop.recordRoutes(table);
    this.log.info({
      event: 'routes.in_force',
      version: table.version,
      routes: table.routes.length,
      tokens_per_second: table.tokensPerSecond,
      workspaces: table.workspaces?.length ?? 0,
    });
    for (const listener of this.routesListeners) listener();
  }

  /** Calls `listener` whenever other routes are in force. */
  onRoutesChange(listener: () => void): void {
    this.routesListeners.push(listener);
  }

  /** Records that this router itself has read the store, whose routes and endpoints it last read at `at`. */
  recordStoreRead(at: number): void {
    this.storeReadAt = Math.max(this.storeReadAt, at);
  }

  /** Time since this router itself has read the store, in ms; infinite if it never has. */
  storeReadAgeMs(): number {
    return this.clock.monotonic() - this.storeReadAt;
  }

  /**
   * Records that the list of endpoints was complete at monotonic time `at`. `isContinuous` tells that all changes
   * since the previous call were applied one by one.
   */
  confirmEndpoints(at: number, isContinuous = false): void {
    this.streams.confirmEndpoints(at, isContinuous);
    for (const { client } of this.endpoints.all()) client.recordListed(at);
  }

  /** Version of the routes, and age of the routes and of the list of endpoints. */
  storeStateAge(): StoreStateAge {
    const now = this.clock.monotonic();
    return {
      version: this.routeIndex?.table.version,
      routesAgeMs: this.freshness.ageMs(now),
      endpointsAgeMs: now - this.streams.confirmations.confirmedAt,
    };
  }

  /** Hash of the list of endpoints, for the comparison with that of another router. */
  endpointsHash(): string {
    const { changes } = this.endpoints;
    if (this.listHash?.changes === changes) return this.listHash.hash;
    const hash = hashEndpoints(this.endpoints.list());
    this.listHash = { hash, changes };
    return hash;
  }

  /** Longest wait of a request over its workspace's share, as a multiple of the objective. */
  surplusWaitLimit(pool: string): number {
    return this.pools.surplusLimiter(pool).waitLimit(this.peerLateRate(pool));
  }

  /** How far requests within their share are late in the pool of model endpoints that has most of them, in 0..1. */
  private contention(): number {
    const contentions = (this.routeIndex?.modelPools ?? []).map((name) =>
      this.pools.surplusLimiter(name).contention(this.peerLateRate(name)),
    );
    return Math.max(0, ...contentions);
  }

  private peerLateRate(pool: string): PeerLateRate {
    return this.peers.meanLateRate(murmurhash.v3(pool), this.clock.monotonic());
  }

  /** Number of live routers, including this one. */
  countRouters(): number {
    return this.peers.countRouters(this.clock.monotonic());
  }

  /**
   * Records that an endpoint caches the shared segments of a prompt once it has prefilled them in `afterMs`, and
   * announces new ones to peers.
   */
  recordCached(record: EndpointRecord, segments: readonly HashedSegment[], afterMs = 0): void {
    const capacity = this.cacheTokens(record);
    const at = this.clock.monotonic() + afterMs;
    for (const segment of segments) {
      if (!this.prefixCacheIndex.recordCached(record.incarnation, segment, capacity, at)) continue;
      this.reports.announceCached([record.incarnationHash, segment.hash, segment.tokens]);
    }
  }

  /**
   * Records the segments that an endpoint lists as cached. They aren't announced, since the peers
   * fetch the list themselves when they start.
   */
  recordCacheListing(endpoint: Endpoint, segments: readonly HashedSegment[]): void {
    const { id } = endpoint;
    this.streams.recordListing(endpoint, segments);
    const record = this.endpoints.find(id);
    if (record?.incarnation !== incarnationOf(endpoint)) return;
    const capacity = this.cacheTokens(record);
    for (const segment of segments)
      this.prefixCacheIndex.recordCached(record.incarnation, segment, capacity);
    this.log.info({ event: 'endpoint.cache_read', endpoint: id, parts: segments.length });
  }

  /** Whether an endpoint is in a region that may see a request of this route and workspace. */
  allowsRegion(endpoint: Endpoint, route: Route, workspace: string | undefined): boolean {
    const workspaceRegions = this.routeIndex?.findRegions(workspace);
    if (route.regions === undefined && workspaceRegions === undefined) return true;
    const region = this.regions.get(endpoint.dataCentre);
    return isRegionAllowed(region, [route.regions, workspaceRegions]);
  }

  /** Builds the report to this router's peers. */
  buildReport(includesWorkspaces: boolean): ReportBody {
    this.warmUps.refresh();
    return this.reports.build(includesWorkspaces);
  }

  /** Applies a peer's report. */
  applyReport(report: PeerReport): void {
    this.reports.apply(report);
  }

  private describeState(): ReportHead {
    const stateAgeMs = oldestAgeMs(this.storeStateAge());
    const readAgeMs = this.storeReadAgeMs();
    return {
      version: this.routeIndex?.table.version ?? 0,
      ...(Number.isFinite(stateAgeMs) ? { stateAgeMs: Math.round(stateAgeMs) } : {}),
      ...(Number.isFinite(readAgeMs) ? { readAgeMs: Math.round(readAgeMs) } : {}),
    };
  }

  private applyCachedSegment([endpointHash, hash, tokens]: CachedSegmentEntry): void {
    const record = this.endpoints.findByHash(endpointHash);
    if (record === undefined) return;
    const capacity = this.cacheTokens(record);
    this.prefixCacheIndex.recordCached(record.incarnation, { hash, tokens }, capacity);
  }

  /** Capacity of an endpoint's KV cache in tokens; undefined if its pool doesn't define it. */
  private cacheTokens({ endpoint }: EndpointRecord): number | undefined {
    return this.routeIndex?.findPool(endpoint.pool)?.batch?.cacheTokens;
  }

  private logReplaced({ id, pool, version, startedAt }: Endpoint): void {
    const listAgeMs = Math.round(this.streams.confirmations.ageMs);
    this.log.info({
      event: 'endpoint.replaced',
      endpoint: id,
      pool,
      version,
      started_at: startedAt,
      endpoints_age_ms: listAgeMs,
    });
  }

  private removeEndpointState(record: EndpointRecord): void {
    this.limits.remove(record);
    this.warmUps.remove(record);
    this.streams.recordDeparted(record.endpoint);
    this.metrics.removeEndpoint(record.endpoint.id);
    this.prefixCacheIndex.removeEndpoint(record.incarnation);
    this.pools.removeEndpoint(record);
  }
}
