/**
 * State of one router that its decisions use: routes, endpoints and their load, the speed of pools,
 * kept prompt parts, shares of workspaces and budgets. Lost with the process; store and peers bring
 * it back.
 */
import murmurhash from 'murmurhash';
import {
  SharedRetryBudget,
  hashSharedPrefix,
  KeyFreshness,
  LogRateLimiter,
  PrefixCacheIndex,
  RouteIndex,
  fairShareCost,
  FairShareLedger,
  LatencyEstimator,
  SurplusLimiter,
} from '@poplarpick/decisions';
import type {
  HashedSegment,
  StoreStateAge,
  LoadTotals,
  Prompt,
  RoutingTable,
  ShareUsage,
} from '@poplarpick/decisions';
import type { Clock, Logger, LogOutput } from '@poplarpick/kernel';
import { EndpointClient } from './endpoints/endpoint-client.ts';
import { EndpointDirectory } from './endpoints/endpoint-directory.ts';
import type { EndpointRecord } from './endpoints/endpoint-directory.ts';
import type { CallProtocol } from './calls/call-protocol.ts';
import { PeerTable } from './peers/peer-table.ts';
import type { EndpointLoadEntry, CachedSegmentEntry, PeerReport } from './peers/peer-table.ts';
import { RouterMetrics } from './router-metrics.ts';
import type { ReportBody } from './peers/peer-exchange.ts';

/** Share of an endpoint's connections that one router may open, since others open some too. */
const CONNECTION_SHARE = 0.5;

const DEFAULT_CONNECTION_LIMIT = 64;

/** Reports in which a newly kept part is told, so that a lost datagram doesn't hide it. */
const KEPT_REPEATS = 3;

/** Most kept parts in one report, so that it fits a datagram. */
const KEPT_PER_REPORT = 200;

const MS_PER_SECOND = 1_000;

/** Bounds that the site sets. */
export interface RouterBounds {
  revocationMs: number;
  shareWindowMs: number;
  retryRatio: number;
  retrySlack: number;
  retryWindowMs: number;
}

/** Options of a `RouterState`. */
export interface RouterStateOptions {
  clock: Clock;
  log: Logger;
  protocol: CallProtocol;
  dataCentre: string;
  bounds: RouterBounds;
  /** Where the lines of `log` go. */
  logOutput?: LogOutput | undefined;
  /** A number in [0, 1) that spreads the returns of callers. */
  random?: () => number;
}

/** State of one router. */
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
  readonly metrics: RouterMetrics;
  private readonly shares: FairShareLedger;
  private readonly speeds = new Map<string, LatencyEstimator>();
  private readonly gauges = new Map<string, SurplusLimiter>();
  private readonly budgets = new Map<string, SharedRetryBudget>();
  private readonly untoldParts: { part: CachedSegmentEntry; left: number }[] = [];
  private current: RouteIndex | undefined;
  private endpointsProvenAt = Number.NEGATIVE_INFINITY;

  constructor(options: RouterStateOptions) {
    this.clock = options.clock;
    this.log = options.log;
    this.dataCentre = options.dataCentre;
    this.bounds = options.bounds;
    this.protocol = options.protocol;
    this.logOutput = options.logOutput;
    this.random = options.random ?? Math.random;
    this.freshness = new KeyFreshness({ revocationMs: options.bounds.revocationMs });
    this.metrics = new RouterMetrics({
      keyAgeMs: () => this.freshness.ageMs(this.clock.monotonic()),
      routesVersion: () => this.current?.table.version ?? 0,
      endpoints: () => this.endpoints.ids().length,
      routers: () => this.countRouters(),
      logLinesDropped: () => this.logOutput?.dropped ?? 0,
      remainingRetries: () => this.attemptsLeft(),
    });
    this.shares = new FairShareLedger(options.bounds.shareWindowMs);
    this.endpoints = new EndpointDirectory({
      log: options.log,
      createClient: (endpoint) =>
        new EndpointClient({
          address: endpoint.address,
          connectionLimit: this.connectionLimit(endpoint.pool),
          protocol: options.protocol,
        }),
      onRemoved: (record) => this.forget(record),
    });
  }

  /** The routes in force; undefined before any is known. */
  get routes(): RouteIndex | undefined {
    return this.current;
  }

  /** Puts a routing table in force; an older one than that in force is ignored. */
  applyRoutingTable(table: RoutingTable): void {
    if (this.current !== undefined && table.version <= this.current.table.version) return;
    this.current = new RouteIndex(table);
    this.log.info({
      event: 'routes.in_force',
      version: table.version,
      routes: table.routes.length,
      tokens_per_second: table.tokensPerSecond,
      workspaces: table.workspaces?.length ?? 0,
    });
  }

  /** Notes that the list of endpoints was complete at monotonic time `at`. */
  confirmEndpoints(at: number): void {
    this.endpointsProvenAt = Math.max(this.endpointsProvenAt, at);
  }

  /** How old this router's knowledge of the store is. */
  storeStateAge(): StoreStateAge {
    const now = this.clock.monotonic();
    return {
      version: this.current?.table.version,
      routesAgeMs: this.freshness.ageMs(now),
      endpointsAgeMs: now - this.endpointsProvenAt,
    };
  }

  latencyEstimator(pool: string): LatencyEstimator {
    return getOrMake(this.speeds, pool, () => new LatencyEstimator());
  }

  surplusLimiter(pool: string): SurplusLimiter {
    return getOrMake(this.gauges, pool, () => new SurplusLimiter());
  }

  /** Longest wait of a request beyond its share, in objectives. */
  surplusWaitLimit(pool: string): number {
    const hash = murmurhash.v3(pool);
    const peerRates: number[] = [];
    for (const { lateRates } of this.peers.live(this.clock.monotonic())) {
      const entry = lateRates.find(([name]) => name === hash);
      if (entry !== undefined) peerRates.push(entry[1]);
    }
    return this.surplusLimiter(pool).waitLimit(peerRates);
  }

  retryBudget(pool: string): SharedRetryBudget {
    const { retryRatio, retrySlack, retryWindowMs } = this.bounds;
    return getOrMake(
      this.budgets,
      pool,
      () =>
        new SharedRetryBudget({ ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs }),
    );
  }

  countRouters(): number {
    return this.peers.countRouters(this.clock.monotonic());
  }

  /** Notes that a workspace asks for a prompt for the first time. */
  recordDemand(workspace: string, prompt: Prompt): void {
    this.shares.recordDemand(workspace, fairShareCost(prompt), this.clock.monotonic());
  }

  /** What a workspace has had of its fair share of the window. */
  shareUsage(workspace: string): ShareUsage {
    const now = this.clock.monotonic();
    const tokensPerSecond = this.current?.table.tokensPerSecond ?? 0;
    if (tokensPerSecond === 0) return { shareUsed: 0, surplusUsed: 0 };
    const told = this.peers.live(now).flatMap(({ workspaces }) => workspaces ?? []);
    return this.shares.measureUsage(workspace, told, tokensPerSecond / MS_PER_SECOND, now);
  }

  recordGrant(workspace: string, prompt: Prompt, isBeyondShare: boolean): void {
    const now = this.clock.monotonic();
    this.shares.recordGrant(workspace, fairShareCost(prompt), isBeyondShare, now);
  }

  /** Notes that an endpoint reads the shared parts of a prompt. */
  recordCached(record: EndpointRecord, parts: readonly HashedSegment[]): void {
    const capacity = this.cacheTokens(record);
    for (const part of parts) {
      if (!this.prefixCacheIndex.recordCached(record.incarnation, part, capacity)) continue;
      const kept: CachedSegmentEntry = [murmurhash.v3(record.incarnation), part.hash, part.tokens];
      this.untoldParts.push({ part: kept, left: KEPT_REPEATS });
    }
  }

  /** Notes the parts that an endpoint says it keeps; its peers have asked it themselves. */
  recordCacheListing(id: string, parts: readonly HashedSegment[]): void {
    const record = this.endpoints.find(id);
    if (record === undefined) return;
    const capacity = this.cacheTokens(record);
    for (const part of parts)
      this.prefixCacheIndex.recordCached(record.incarnation, part, capacity);
    this.log.info({ event: 'endpoint.cache_read', endpoint: id, parts: parts.length });
  }

  /** This router's state for its peers. */
  buildReport(hasWorkspaces: boolean): ReportBody {
    const loads: EndpointLoadEntry[] = [];
    for (const { incarnation, load } of this.endpoints.all()) {
      const share = load.ownLoad();
      if (share.pending + share.running === 0) continue;
      const { pending, prefillTokens, running, kvCacheTokens } = share;
      loads.push([
        murmurhash.v3(incarnation),
        pending,
        Math.round(prefillTokens),
        running,
        Math.round(kvCacheTokens),
      ]);
    }
    return {
      version: this.current?.table.version ?? 0,
      loads,
      ...(hasWorkspaces ? { workspaces: this.shares.snapshot(this.clock.monotonic()) } : {}),
      kept: this.takeUntoldParts(),
      lateRates: [...this.gauges].map(([pool, gauge]) => [murmurhash.v3(pool), gauge.lateRate]),
    };
  }

  /** Takes a peer's state. */
  applyReport(report: PeerReport): void {
    const now = this.clock.monotonic();
    const byHash = new Map<number, EndpointRecord>();
    for (const record of this.endpoints.all())
      byHash.set(murmurhash.v3(record.incarnation), record);
    const loads = new Map(report.loads.map((entry) => [entry[0], readShare(entry)]));
    for (const [hash, record] of byHash) {
      const share = loads.get(hash);
      record.load.applyPeerLoad(report.from, share ?? EMPTY_SHARE, now);
    }
    for (const [hash, part, tokens] of report.kept) {
      const record = byHash.get(hash);
      if (record === undefined) continue;
      const capacity = this.cacheTokens(record);
      this.prefixCacheIndex.recordCached(record.incarnation, { hash: part, tokens }, capacity);
    }
  }

  private takeUntoldParts(): CachedSegmentEntry[] {
    const told = this.untoldParts.splice(0, KEPT_PER_REPORT);
    for (const entry of told) {
      entry.left -= 1;
      if (entry.left > 0) this.untoldParts.push(entry);
    }
    return told.map(({ part }) => part);
  }

  /** Tokens that an endpoint can keep; undefined where its pool doesn't say. */
  private cacheTokens({ endpoint }: EndpointRecord): number | undefined {
    return this.current?.findPool(endpoint.pool)?.batch?.cacheTokens;
  }

  private connectionLimit(pool: string): number {
    const limit = this.current?.findPool(pool)?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
    return Math.max(1, Math.floor(limit * CONNECTION_SHARE));
  }

  private attemptsLeft(): number {
    let left = 0;
    for (const budget of this.budgets.values()) left += budget.remaining;
    return left;
  }

  private forget(record: EndpointRecord): void {
    this.metrics.removeEndpoint(record.endpoint.id);
    this.prefixCacheIndex.removeEndpoint(record.incarnation);
    this.latencyEstimator(record.endpoint.pool).removeEndpoint(record.incarnation);
  }
}

function readShare(entry: EndpointLoadEntry): LoadTotals {
  const [, pending, prefillTokens, running, kvCacheTokens] = entry;
  return { pending, prefillTokens, running, kvCacheTokens };
}

const EMPTY_SHARE: LoadTotals = { pending: 0, prefillTokens: 0, running: 0, kvCacheTokens: 0 };

/** The shared parts of a prompt; none where there is no prompt. */
export function sharedSegments(prompt: Prompt | undefined): HashedSegment[] {
  return prompt === undefined ? [] : hashSharedPrefix(prompt);
}

function getOrMake<Key, Value>(map: Map<Key, Value>, key: Key, make: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const made = make();
  map.set(key, made);
  return made;
}
