/** Counters and latency histograms of one router, served in the Prometheus text format. */
import type { Server } from 'node:http';
import { Counter, Histogram, Registry } from 'prom-client';
import { listenOn } from '@poplarpick/fleet/address';
import type { CollectionKind } from '@poplarpick/fleet/listening/v8-collections';
import { SHORT_EXCHANGES } from '@poplarpick/fleet/listening/listener-guard';
import type { ClosingReason, ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';
import type { DrainSource, HoldingKind } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import type { ReportPart } from './peers/report-codec.ts';
import { addGauges } from './router-gauges.ts';
import type { MetricsSource } from './router-gauges.ts';

/** Bucket bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16];

/** Bucket bounds of the histogram of estimation errors, in seconds. */
const ESTIMATE_ERROR_BUCKETS_S = [-0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2];

const MS_PER_SECOND = 1_000;

/** How one call ended. */
export interface EndedCall {
  route: string;
  outcome: string;
  /** The workspace had used up its fair share. */
  isOverShare: boolean;
  firstEventMs: number | undefined;
  /** Estimated time to the first event at placement, in ms; undefined for a call without placement. */
  expectedMs: number | undefined;
  totalMs: number;
  /** Latency objective of the route, in ms. */
  objectiveMs: number;
}

/** Targets of a router's control-plane requests. */
export enum ControlCall {
  Store = 'store',
  Peer = 'peer',
}

/**
 * Outcome of calls whose callers disconnected. They don't count towards the service level, since it is
 * unknown how they would have ended.
 */
const DISCONNECT_OUTCOME = 'caller_left';

const GOOD_OUTCOME = /^(ok|status_[234])/;

/** Metrics of one router. */
export class RouterMetrics {
  private readonly registry = new Registry();
  private readonly calls = new Counter({
    name: 'poplarpick_calls_total',
    help: 'Calls that ended, by route, outcome and whether the workspace had used up its share',
    labelNames: ['route', 'outcome', 'share'],
    registers: [this.registry],
  });
  private readonly failedAttempts = new Counter({
    name: 'poplarpick_attempts_failed_total',
    help: 'Attempts at endpoints that failed, by endpoint and verdict',
    labelNames: ['endpoint', 'verdict'],
    registers: [this.registry],
  });
  private readonly drains = new Counter({
    name: 'poplarpick_endpoint_drains_total',
    help: 'Statements that an endpoint drains, the first of each source, by pool and source',
    labelNames: ['pool', 'source'],
    registers: [this.registry],
  });
  private readonly pauses = new Counter({
    name: 'poplarpick_endpoint_pauses_total',
    help: 'Pauses that endpoints asked for with a refusal, by pool',
    labelNames: ['pool'],
    registers: [this.registry],
  });
  private readonly hedges = new Counter({
    name: 'poplarpick_hedges_total',
    help: 'Slow calls that were also sent to a second endpoint, by pool',
    labelNames: ['pool'],
    registers: [this.registry],
  });
  private readonly unplacedCalls = new Counter({
    name: 'poplarpick_calls_unplaced_total',
    help: 'Calls that were refused before they were placed, by code',
    labelNames: ['code'],
    registers: [this.registry],
  });
  private readonly firstEvent = new Histogram({
    name: 'poplarpick_first_event_seconds',
    help: 'Time from the arrival of a call to its first event',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly callDuration = new Histogram({
    name: 'poplarpick_call_seconds',
    help: 'Time from the arrival of a call to its end',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly serviceLevelCalls = new Counter({
    name: 'poplarpick_calls_judged_total',
    help: 'Calls that count for the service level: good (complete and on time) or bad, by route',
    labelNames: ['route', 'quality'],
    registers: [this.registry],
  });
  private readonly estimateError = new Histogram({
    name: 'poplarpick_estimate_error_seconds',
    help: 'Actual minus estimated time from the arrival of a call to its first event',
    labelNames: ['route'],
    buckets: ESTIMATE_ERROR_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly controlCalls = new Counter({
    name: 'poplarpick_control_calls_total',
    help: 'Calls to the store and to peers, by result',
    labelNames: ['to', 'result'],
    registers: [this.registry],
  });
  private readonly reportBytes = new Counter({
    name: 'poplarpick_report_bytes_total',
    help: 'Bytes of reports between routers, by direction',
    labelNames: ['direction'],
    registers: [this.registry],
  });
  private readonly rejectedReports = new Counter({
    name: 'poplarpick_reports_rejected_total',
    help: 'Datagrams from other hosts that were no valid report',
    registers: [this.registry],
  });
  private readonly shortenedReports = new Counter({
    name: 'poplarpick_reports_shortened_total',
    help: 'Reports to other routers that were too large, by the last part that was left out',
    labelNames: ['left_out'],
    registers: [this.registry],
  });
  private readonly yields = new Counter({
    name: 'poplarpick_yields_total',
    help: 'Requests, answers and connections that were given up for lack of memory, by what was held',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly closings = new Counter({
    name: 'poplarpick_connections_closed_total',
    help: 'Connections that were closed since their listener was full, by listener and reason',
    labelNames: ['listener', 'reason'],
    registers: [this.registry],
  });
  private readonly collections = new Counter({
    name: 'poplarpick_collections_total',
    help: 'Collections of garbage that the router asked for, since its memory was filling, by generation',
    labelNames: ['generation'],
    registers: [this.registry],
  });
  private server: Server | undefined;

  constructor(source: MetricsSource) {
    addGauges(this.registry, source);
  }

  recordCall(call: EndedCall): void {
    const { route, outcome, isOverShare, firstEventMs, expectedMs } = call;
    this.calls.inc({ route, outcome, share: isOverShare ? 'beyond' : 'within' });
    this.callDuration.observe({ route }, call.totalMs / MS_PER_SECOND);
    this.recordServiceLevel(call);
    if (firstEventMs === undefined) return;
    this.firstEvent.observe({ route }, firstEventMs / MS_PER_SECOND);
    if (expectedMs === undefined) return;
    this.estimateError.observe({ route }, (firstEventMs - expectedMs) / MS_PER_SECOND);
  }

  recordFailedAttempt(endpoint: string, verdict: Verdict): void {
    this.failedAttempts.inc({ endpoint, verdict });
  }

  /** Removes the series of an endpoint that is gone, so that the number of series stays bounded. */
  removeEndpoint(endpoint: string): void {
    for (const verdict of Object.values(Verdict)) this.failedAttempts.remove({ endpoint, verdict });
  }

  recordControlCall(target: ControlCall, isSuccessful: boolean): void {
    this.controlCalls.inc({ to: target, result: isSuccessful ? 'answered' : 'failed' });
  }

  recordReportBytes(direction: 'sent' | 'received', bytes: number): void {
    this.reportBytes.inc({ direction }, bytes);
  }

  recordRejectedReport(): void {
    this.rejectedReports.inc();
  }

  /** Counts a call as good (complete and on time) or bad, unless its caller disconnected. */
  private recordServiceLevel({
    route,
    outcome,
    firstEventMs,
    totalMs,
    objectiveMs,
  }: EndedCall): void {
    if (outcome === DISCONNECT_OUTCOME) return;
    const isOnTime = (firstEventMs ?? totalMs) <= objectiveMs;
    const isGood = GOOD_OUTCOME.test(outcome) && isOnTime;
    this.serviceLevelCalls.inc({ route, quality: isGood ? 'good' : 'bad' });
  }

  recordDrain(pool: string, source: DrainSource): void {
    this.drains.inc({ pool, source });
  }

  recordPause(pool: string): void {
    this.pauses.inc({ pool });
  }

  recordHedge(pool: string): void {
    this.hedges.inc({ pool });
  }

  recordUnplaced(code: string): void {
    this.unplacedCalls.inc({ code });
  }

  recordShortenedReport(leftOut: ReportPart): void {
    this.shortenedReports.inc({ left_out: leftOut });
  }

  recordYield(kind: HoldingKind): void {
    this.yields.inc({ kind });
  }

  recordClosing(listener: string, reason: ClosingReason): void {
    this.closings.inc({ listener, reason });
  }

  recordCollection(kind: CollectionKind): void {
    this.collections.inc({ generation: kind });
  }

  /** The metrics in the Prometheus text format. */
  async read(): Promise<string> {
    return this.registry.metrics();
  }

  /** Serves the metrics over HTTP. Rejects when the address can't be bound. */
  async open(address: string, guard: ListenerGuard): Promise<void> {
    const server = guard.createHttpServer(SHORT_EXCHANGES, (_request, response) => {
      void this.read().then((text) => {
        response.setHeader('Content-Type', this.registry.contentType);
        response.end(text);
      });
    });
    this.server = server;
    await listenOn(server, address);
  }

  close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}
