/**
 * Keeps the limits that endpoints name in their responses: the requests a second that an endpoint takes from all
 * routers together. Tells the peers what endpoints have named and what this router needs, and divides each limit
 * with them. Logs when a limit begins and ends, and meanwhile how many requests this router sends.
 */
import type { PeerRouters, RequestLimit } from '@poplarpick/decisions';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { ResponseHead } from '../calls/call-protocol.ts';
import { reportSubject } from '../peers/peer-table.ts';
import type { PeerReport, PeerTable } from '../peers/peer-table.ts';
import type { EndpointDirectory, EndpointRecord } from './endpoint-directory.ts';

/** Time between two log lines about the requests to one limited endpoint, in ms. */
const LOG_PERIOD_MS = 5_000;

/** Time for which a router that has fallen silent is taken into account, in ms. */
const SILENT_ROUTER_MS = 10_000;

/** Rates are whole numbers in reports; so many of their units are one request a second. */
const RATE_UNITS = 1_000;

const MIN_SERVER_ERROR_STATUS = 500;

/** What a report tells about limits. */
export type LimitReport = Required<Pick<PeerReport, 'limits' | 'needs'>>;

/** Options of a `LimitTracker`. */
export interface LimitTrackerOptions {
  clock: Clock;
  log: Logger;
  endpoints: Pick<EndpointDirectory, 'all' | 'findAvailable' | 'findByHash'>;
  peers: Pick<PeerTable, 'groups'>;
}

/** Keeps the limits of endpoints. */
export class LimitTracker {
  private readonly options: LimitTrackerOptions;
  /** Limited endpoints, with the time of the latest log line about their requests. */
  private readonly limited = new Map<EndpointRecord, number>();
  private peerRouters: PeerRouters = { groups: [], missing: 0 };
  /** Most routers that were live lately, without this one. */
  private knownPeers = 0;
  private knownPeersAt = Number.NEGATIVE_INFINITY;
  private unreadableLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(options: LimitTrackerOptions) {
    this.options = options;
  }

  /** Number of endpoints that name a limit. */
  get limitedCount(): number {
    return this.limited.size;
  }

  /** Records what the head of a response says of the limit; its request was sent at `sentAt`. */
  recordHead(record: EndpointRecord, head: ResponseHead, sentAt: number): void {
    if (head.limit !== undefined) this.recordNamed(record, head.limit);
    else if (isServed(head)) record.limit.statements.recordUnnamed(sentAt);
    this.update(record);
  }

  /** Records that an endpoint is the best one for a request and has got what it takes. */
  recordDiverted(record: EndpointRecord): void {
    record.limit.recordDiverted(this.now());
  }

  /** Whether this router has used up its part of the endpoint's limit for now. */
  isExhausted(record: EndpointRecord): boolean {
    return record.limit.isExhausted(this.now());
  }

  /** Records that a request is sent to an endpoint. */
  recordSent(record: EndpointRecord): void {
    record.limit.recordSent(this.now());
  }

  /**
   * Time until an endpoint of a pool takes another request, in ms, if all that take requests at all have got what
   * they take; undefined otherwise.
   */
  timeUntilAvailableMs(pool: string): number | undefined {
    const now = this.now();
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const { limit } of this.options.endpoints.findAvailable(pool))
      shortestMs = Math.min(shortestMs, limit.waitMs(now));
    return shortestMs > 0 && Number.isFinite(shortestMs) ? shortestMs : undefined;
  }

  /** Computes the parts of all limits anew; called before each report. */
  refresh(): void {
    this.peerRouters = this.findPeerRouters();
    for (const record of this.options.endpoints.all()) this.update(record);
    for (const record of this.limited.keys()) this.logRequests(record);
  }

  /** Forgets an endpoint that is gone. */
  remove(record: EndpointRecord): void {
    this.limited.delete(record);
  }

  /** Builds this router's part of a report. */
  buildReport(): LimitReport {
    const now = this.now();
    const report: LimitReport = { limits: [], needs: [] };
    for (const { incarnationHash, limit } of this.limited.keys()) {
      report.needs.push([incarnationHash, encodeRate(limit.neededPerSecond(now)), 1]);
      const own = limit.statements.findOwn();
      if (own === undefined) continue;
      const ageMs = Math.max(0, Math.round(now - own.namedAt));
      report.limits.push([incarnationHash, encodeRate(own.perSecond), ageMs]);
    }
    return report;
  }

  /** Applies a peer's report. */
  applyReport(report: PeerReport): void {
    const now = this.now();
    const subject = reportSubject(report);
    for (const [endpoint, rate, routers] of report.needs ?? []) {
      const record = this.options.endpoints.findByHash(endpoint);
      record?.limit.peerNeeds.apply(subject, { perSecond: decodeRate(rate), routers }, now);
    }
    for (const [endpoint, rate, ageMs] of report.limits ?? []) {
      const record = this.options.endpoints.findByHash(endpoint);
      if (record === undefined) continue;
      const statement = { perSecond: decodeRate(rate), namedAt: now - ageMs };
      record.limit.statements.applyPeerStatement(subject, statement, now);
      this.update(record);
    }
  }

  private recordNamed(record: EndpointRecord, { perSecond, text }: RequestLimit): void {
    if (perSecond === undefined) this.logUnreadable(record, text);
    else record.limit.statements.recordNamed(perSecond, this.now());
  }

  private logUnreadable(record: EndpointRecord, text: string): void {
    const now = this.now();
    if (now - this.unreadableLoggedAt < LOG_PERIOD_MS) return;
    this.unreadableLoggedAt = now;
    this.log('endpoint.limit_unreadable', record, { named: text });
  }

  /** Computes this router's part of a limit anew, and notes its begin and its end. */
  private update(record: EndpointRecord): void {
    const now = this.now();
    const limit = record.limit.statements.current(now);
    const wasLimited = this.limited.has(record);
    if (limit === undefined && !wasLimited) return;
    record.limit.refresh(this.peerRouters, now);
    if (limit === undefined) {
      this.limited.delete(record);
      this.log('endpoint.limit_ended', record, {});
    } else if (!wasLimited) {
      this.limited.set(record, now);
      this.log('endpoint.limit_named', record, { limit, ...describeRates(record, now) });
    }
  }

  private findPeerRouters(): PeerRouters {
    const now = this.now();
    const groups = this.options.peers.groups(now);
    const live = groups.reduce((sum, { routers }) => sum + routers, 0);
    if (live >= this.knownPeers || now - this.knownPeersAt > SILENT_ROUTER_MS) {
      this.knownPeers = live;
      this.knownPeersAt = now;
    }
    return { groups, missing: this.knownPeers - live };
  }

  private logRequests(record: EndpointRecord): void {
    const now = this.now();
    const loggedAt = this.limited.get(record) ?? now;
    if (now - loggedAt < LOG_PERIOD_MS) return;
    this.limited.set(record, now);
    if (record.limit.neededPerSecond(now) === 0) return;
    const limit = record.limit.statements.current(now);
    this.log('endpoint.limited', record, { limit, ...describeRates(record, now) });
  }

  private log(
    event: string,
    { endpoint }: EndpointRecord,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { log } = this.options;
    log.info({ event, endpoint: endpoint.id, pool: endpoint.pool, ...fields });
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}

/** Rates of this router at an endpoint, in requests a second. */
function describeRates({ limit }: EndpointRecord, now: number): Record<string, number | undefined> {
  return {
    price_tokens: Math.round(limit.priceTokens),
    part_per_s: limit.partPerSecond && Number(limit.partPerSecond.toFixed(2)),
    needed_per_s: limit.neededPerSecond(now),
    sent_per_s: limit.sentPerSecond(now),
  };
}

function encodeRate(perSecond: number): number {
  return Math.round(perSecond * RATE_UNITS);
}

function decodeRate(rate: number): number {
  return rate / RATE_UNITS;
}

/** Whether the endpoint that was called has served the request; other responses need not name its limit. */
function isServed({ status, isNotRun, isMisdirected }: ResponseHead): boolean {
  return status < MIN_SERVER_ERROR_STATUS && !isNotRun && !isMisdirected;
}
