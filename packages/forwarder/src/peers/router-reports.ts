/**
 * Builds the reports of one router to its peers from what it knows, and applies theirs: loads at endpoints, newly
 * cached segments, refused requests, endpoints that drain, and what the parts of the router tell each other.
 */
import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import { DrainSource, MAX_TOLD_PAUSE_MS } from '@poplarpick/decisions';
import type {
  FairShareLedger,
  LoadTotals,
  RefusedRequests,
  RequestFingerprint,
  StreamPace,
  SurplusLimiter,
} from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';
import type { EndpointDirectory } from '../endpoints/endpoint-directory.ts';
import type { LimitTracker } from '../endpoints/limit-tracker.ts';
import type { PoisonGuard } from '../poison/poison-guard.ts';
import { RepeatedAnnouncements } from '../poison/repeated-announcements.ts';
import type { StreamOrigins } from '../streams/stream-origins.ts';
import { reportSubject } from './peer-table.ts';
import type {
  CachedSegmentEntry,
  EndpointLoadEntry,
  EndpointPauseEntry,
  PeerReport,
} from './peer-table.ts';
import type { ReportBody } from './report-exchange.ts';

/** Most cached prompt segments in one report, so that it fits into a datagram. */
const MAX_SEGMENTS_PER_REPORT = 200;

/** Most refused requests in one report, so that it fits into a datagram. */
const MAX_REFUSALS_PER_REPORT = 1_000;

/** Most routers and data centres whose latest loads are remembered, as a bound on faulty reports. */
const MAX_SUBJECTS = 2_000;

const EMPTY_LOAD: LoadTotals = { pending: 0, prefillTokens: 0, running: 0, kvCacheTokens: 0 };

/** Version of the routes, and the age of what was read from the store. */
export type ReportHead = Pick<ReportBody, 'version' | 'stateAgeMs' | 'readAgeMs'>;

/** Options of `RouterReports`. */
export interface RouterReportsOptions {
  clock: Clock;
  endpoints: EndpointDirectory;
  fairShareLedger: FairShareLedger;
  limits: LimitTracker;
  poison: PoisonGuard;
  refusedRequests: RefusedRequests;
  streams: StreamOrigins;
  surplusLimiters: ReadonlyMap<string, SurplusLimiter>;
  describeState: () => ReportHead;
  /** The pace of the streams of a pool. */
  streamPace: (pool: string) => StreamPace;
  /** Called with each segment that a peer has announced as cached. */
  onCachedSegment: (entry: CachedSegmentEntry) => void;
}

/** The reports of one router. */
export class RouterReports {
  private readonly options: RouterReportsOptions;
  /** Newly cached segments. */
  private readonly cacheAnnouncements = new RepeatedAnnouncements<CachedSegmentEntry>();
  /** Refusals that the next report announces. */
  private unannouncedRefusals: RequestFingerprint[] = [];
  /** Hashes of the endpoints at which the latest report of each subject named a load. */
  private readonly loadedEndpoints = new LRUCache<string, Set<number>>({ max: MAX_SUBJECTS });

  constructor(options: RouterReportsOptions) {
    this.options = options;
  }

  /** Announces that an endpoint has newly cached a segment. */
  announceCached(entry: CachedSegmentEntry): void {
    this.cacheAnnouncements.add(entry, this.now());
  }

  /** Announces that this router has refused a request. */
  announceRefusal(fingerprint: RequestFingerprint): void {
    this.unannouncedRefusals.push(fingerprint);
  }

  /** Builds the report to this router's peers. */
  build(includesWorkspaces: boolean): ReportBody {
    const { limits, poison, streams, fairShareLedger, surplusLimiters } = this.options;
    limits.refresh();
    return {
      ...this.options.describeState(),
      ...this.listEndpoints(),
      ...(includesWorkspaces
        ? { workspaces: fairShareLedger.snapshot(this.now()), pauses: this.listPauses() }
        : {}),
      kept: this.cacheAnnouncements.take(MAX_SEGMENTS_PER_REPORT).map(({ entry }) => entry),
      lateRates: [...surplusLimiters].map(([pool, limiter]) => [
        murmurhash.v3(pool),
        limiter.lateRate,
      ]),
      refused: this.takeRefusals(),
      ...poison.buildReport(),
      ...limits.buildReport(),
      ...streams.buildReport(),
    };
  }

  /** Applies a peer's report. */
  apply(report: PeerReport): void {
    const { endpoints, limits, onCachedSegment, poison, refusedRequests, streams } = this.options;
    const now = this.now();
    this.applyLoads(reportSubject(report), report.loads, now);
    this.applyPauses(reportSubject(report), report.pauses ?? [], now);
    for (const fingerprint of report.refused ?? []) refusedRequests.record(fingerprint, now);
    for (const hash of report.draining ?? []) {
      const record = endpoints.findByHash(hash);
      if (record !== undefined) endpoints.drain(record, DrainSource.Peer);
    }
    for (const entry of report.kept) onCachedSegment(entry);
    poison.applyReport(report);
    limits.applyReport(report);
    streams.applyReport(report);
  }

  private listPauses(): EndpointPauseEntry[] {
    const pauses: EndpointPauseEntry[] = [];
    for (const { endpoint, incarnation, incarnationHash } of this.options.endpoints.all()) {
      const pauseMs = this.options.streamPace(endpoint.pool).pauseToTell(incarnation, this.now());
      if (pauseMs !== undefined) pauses.push([incarnationHash, Math.round(pauseMs)]);
    }
    return pauses;
  }

  private applyPauses(subject: string, pauses: readonly EndpointPauseEntry[], now: number): void {
    const { endpoints, streamPace } = this.options;
    for (const [hash, pauseMs] of pauses) {
      const record = endpoints.findByHash(hash);
      if (record === undefined) continue;
      const boundedMs = Math.min(MAX_TOLD_PAUSE_MS, pauseMs);
      streamPace(record.endpoint.pool).applyToldPause(record.incarnation, subject, boundedMs, now);
    }
  }

  /** This router's load at each endpoint, and the endpoints that told it that they drain. */
  private listEndpoints(): Pick<ReportBody, 'loads' | 'draining'> {
    const loads: EndpointLoadEntry[] = [];
    const draining: number[] = [];
    for (const { incarnationHash, load, availability } of this.options.endpoints.all()) {
      if (availability.hasAnnouncedDrain) draining.push(incarnationHash);
      const ownLoad = load.ownLoad();
      if (ownLoad.pending + ownLoad.running === 0) continue;
      const { pending, prefillTokens, running, kvCacheTokens } = ownLoad;
      loads.push([
        incarnationHash,
        pending,
        Math.round(prefillTokens),
        running,
        Math.round(kvCacheTokens),
      ]);
    }
    return { loads, draining };
  }

  /**
   * Applies the loads that a report names. Those that the previous report of the same subject named and this
   * one doesn't have ended.
   */
  private applyLoads(subject: string, loads: readonly EndpointLoadEntry[], now: number): void {
    const { endpoints } = this.options;
    const previous = this.loadedEndpoints.get(subject) ?? new Set();
    const current = new Set<number>();
    for (const entry of loads) {
      const [hash] = entry;
      current.add(hash);
      endpoints.findByHash(hash)?.load.applyPeerLoad(subject, toLoadTotals(entry), now);
    }
    for (const hash of previous) {
      if (!current.has(hash))
        endpoints.findByHash(hash)?.load.applyPeerLoad(subject, EMPTY_LOAD, now);
    }
    this.loadedEndpoints.set(subject, current);
  }

  /** Takes the refusals to announce. Beyond the maximum, the oldest are dropped: their retries are near. */
  private takeRefusals(): RequestFingerprint[] {
    const refusals = this.unannouncedRefusals.slice(-MAX_REFUSALS_PER_REPORT);
    this.unannouncedRefusals = [];
    return refusals;
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}

function toLoadTotals(entry: EndpointLoadEntry): LoadTotals {
  const [, pending, prefillTokens, running, kvCacheTokens] = entry;
  return { pending, prefillTokens, running, kvCacheTokens };
}
