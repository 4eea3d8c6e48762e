/** Counters and latency histograms of one router, served in the Prometheus text format. */
import type { Server } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { listenOn } from '@poplarpick/fleet/address';
import { SHORT_EXCHANGES } from '@poplarpick/fleet/listening/listener-guard';
import type { ClosingReason, ListenerGuard } from '@poplarpick/fleet/listening/listener-guard';
import { HoldingKind } from '@poplarpick/decisions';
import type { DrainSource } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';

/** Bucket bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16];

/** Bucket bounds of the histogram of estimation errors, in seconds. */
const ESTIMATE_ERROR_BUCKETS_S = [-0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2];

const MS_PER_SECOND = 1_000;

/** Callbacks that read the values of the gauges when the metrics are collected. */
export interface MetricsSource {
  keyAgeMs: () => number;
  routesVersion: () => number;
  endpoints: () => number;
  routers: () => number;
  logLinesDropped: () => number;
  /** Retries that the budgets of all pools still allow this router. */
  remainingRetries: () => number;
  /** Mean delay of the event loop. */
  eventLoopDelayMs: () => number;
  /** Mean fraction of time in which the event loop has work. */
  eventLoopUtilization: () => number;
  /** Prompt segments that this router blocks. */
  blockedSegments: () => number;
  /** Requests that this router blocks. */
  blockedRequests: () => number;
  /** Endpoints that name a limit. */
  limitedEndpoints: () => number;
  /** Endpoints that are cold. */
  coldEndpoints: () => number;
  /** Data centres that are evacuated. */
  evacuatedDataCentres: () => number;
  reportAges: () => ReportAges;
  /** Bytes of one kind that are held for callers. */
  heldBytes: (kind: HoldingKind) => number;
  /** Bytes that may be held for callers. */
  heldBudgetBytes: () => number;
  /** Open connections by listener. */
  connections: () => Record<string, number>;
}

/** Ages in ms of the latest report of each live sender. */
export interface ReportAges {
  /** Routers of the own data centre. */
  local: number[];
  /** Group reports of the other data centres. */
  remote: number[];
}

/** Quantiles of the ages of reports that are exposed. */
const REPORT_AGE_QUANTILES = [0.5, 0.99];

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
  private server: Server | undefined;

  constructor(source: MetricsSource) {
    this.addGauge(
      'poplarpick_key_age_seconds',
      'Time since the keys were last confirmed as current',
      () => Math.min(source.keyAgeMs(), Number.MAX_SAFE_INTEGER) / MS_PER_SECOND,
    );
    this.addGauge(
      'poplarpick_routes_version',
      'Version of the current routes',
      source.routesVersion,
    );
    this.addGauge('poplarpick_endpoints', 'Known endpoints', source.endpoints);
    this.addGauge('poplarpick_routers', 'Live routers, including this one', source.routers);
    this.addGauge(
      'poplarpick_second_attempts_left',
      'Retries that the budgets of all pools still allow this router',
      source.remainingRetries,
    );
    this.addGauge(
      'poplarpick_event_loop_delay_seconds',
      'Mean time by which timers of the event loop fire late',
      () => source.eventLoopDelayMs() / MS_PER_SECOND,
    );
    this.addGauge(
      'poplarpick_event_loop_utilization',
      'Mean fraction of time in which the event loop has work',
      source.eventLoopUtilization,
    );
    this.addGauge(
      'poplarpick_prompt_segments_blocked',
      'Prompt segments that are blocked, since they have crashed endpoints',
      source.blockedSegments,
    );
    this.addGauge(
      'poplarpick_requests_blocked',
      'Requests that are blocked, since they have crashed endpoints',
      source.blockedRequests,
    );
    this.addGauge(
      'poplarpick_endpoints_cold',
      'Endpoints that are cold and bear few requests a second',
      source.coldEndpoints,
    );
    this.addGauge(
      'poplarpick_data_centres_evacuated',
      'Data centres whose endpoints get no new requests until they are taken back',
      source.evacuatedDataCentres,
    );
    this.addGauge(
      'poplarpick_endpoints_limited',
      'Endpoints that name a limit of the requests that they take',
      source.limitedEndpoints,
    );
    this.addGauge(
      'poplarpick_log_lines_dropped',
      'Log lines dropped because the log reader was too slow',
      source.logLinesDropped,
    );
    this.addGauge(
      'poplarpick_held_budget_bytes',
      'Bytes that may be held for callers',
      source.heldBudgetBytes,
    );
    this.addLabelledGauge('poplarpick_held_bytes', 'Bytes that are held for callers', 'kind', () =>
      Object.fromEntries(Object.values(HoldingKind).map((kind) => [kind, source.heldBytes(kind)])),
    );
    this.addLabelledGauge(
      'poplarpick_connections',
      'Open connections',
      'listener',
      source.connections,
    );
    this.addReportAges(source.reportAges);
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

  recordYield(kind: HoldingKind): void {
    this.yields.inc({ kind });
  }

  recordClosing(listener: string, reason: ClosingReason): void {
    this.closings.inc({ listener, reason });
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

  private addReportAges(read: () => ReportAges): void {
    new Gauge({
      name: 'poplarpick_report_age_seconds',
      help: 'Age of the latest reports, by the data centre of their senders and quantile',
      labelNames: ['senders', 'quantile'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [senders, agesMs] of Object.entries(read())) {
          for (const quantile of REPORT_AGE_QUANTILES) {
            const ageMs = findQuantile(agesMs, quantile);
            if (ageMs !== undefined) this.set({ senders, quantile }, ageMs / MS_PER_SECOND);
          }
        }
      },
    });
  }

  private addLabelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => Record<string, number>,
  ): void {
    new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect() {
        for (const [value, count] of Object.entries(read())) this.set({ [label]: value }, count);
      },
    });
  }

  private addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}

/** The value below which a fraction of the values lie, by nearest rank; undefined without values. */
function findQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(quantile * sorted.length) - 1)];
}
