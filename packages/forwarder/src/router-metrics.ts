/** Counters and latency histograms of one router, served as text. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { listenOn } from '@poplarpick/fleet/address';
import { Verdict } from '@poplarpick/kernel';

/** Bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 16];

/** Bounds of the errors of estimates, in seconds. */
const ESTIMATE_ERROR_BUCKETS_S = [-0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2];

const MS_PER_SECOND = 1_000;

/** What the gauges read when they are asked. */
export interface MetricsSource {
  keyAgeMs: () => number;
  routesVersion: () => number;
  endpoints: () => number;
  routers: () => number;
  logLinesDropped: () => number;
  /** Second attempts that the budgets of all pools still allow. */
  remainingRetries: () => number;
}

/** How one call ended. */
export interface EndedCall {
  route: string;
  outcome: string;
  /** Its workspace had had its share. */
  isOverShare: boolean;
  firstEventMs: number | undefined;
  /** Expected time to the first event when it was placed; undefined where it wasn't. */
  expectedMs: number | undefined;
  totalMs: number;
  /** Time within which it was on time. */
  objectiveMs: number;
}

/** What a router calls on others for. */
export enum ControlCall {
  Store = 'store',
  Peer = 'peer',
}

/** Outcomes of calls whose callers left: nobody knows how those would have ended. */
const DISCONNECT_OUTCOME = 'caller_left';

const GOOD_OUTCOME = /^(ok|status_[234])/;

/** Metrics of one router. */
export class RouterMetrics {
  private readonly registry = new Registry();
  private readonly calls = new Counter({
    name: 'poplarpick_calls_total',
    help: 'Calls that ended, by route, outcome and whether the workspace had had its share',
    labelNames: ['route', 'outcome', 'share'],
    registers: [this.registry],
  });
  private readonly failedAttempts = new Counter({
    name: 'poplarpick_attempts_failed_total',
    help: 'Attempts at endpoints that failed, by endpoint and verdict',
    labelNames: ['endpoint', 'verdict'],
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
    help: 'Calls that count for the service level: good (whole and on time) or bad, by route',
    labelNames: ['route', 'quality'],
    registers: [this.registry],
  });
  private readonly estimateError = new Histogram({
    name: 'poplarpick_estimate_error_seconds',
    help: 'Time to the first event beyond what was expected when the call was placed; below 0 is less',
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
  private server: Server | undefined;

  constructor(source: MetricsSource) {
    this.addGauge(
      'poplarpick_key_age_seconds',
      'Age of the last proof that the keys are good',
      () => Math.min(source.keyAgeMs(), Number.MAX_SAFE_INTEGER) / MS_PER_SECOND,
    );
    this.addGauge(
      'poplarpick_routes_version',
      'Version of the routes in force',
      source.routesVersion,
    );
    this.addGauge('poplarpick_endpoints', 'Endpoints that are known', source.endpoints);
    this.addGauge('poplarpick_routers', 'Routers that are heard, with this one', source.routers);
    this.addGauge(
      'poplarpick_second_attempts_left',
      'Second attempts that the budgets of all pools still allow this router',
      source.remainingRetries,
    );
    this.addGauge(
      'poplarpick_log_lines_dropped',
      'Log lines that the reader left no room for',
      source.logLinesDropped,
    );
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

  /** Forgets an endpoint that is gone, so that its name isn't told for ever. */
  removeEndpoint(endpoint: string): void {
    for (const verdict of Object.values(Verdict)) this.failedAttempts.remove({ endpoint, verdict });
  }

  recordControlCall(target: ControlCall, isSuccessful: boolean): void {
    this.controlCalls.inc({ to: target, result: isSuccessful ? 'answered' : 'failed' });
  }

  recordReportBytes(direction: 'sent' | 'received', bytes: number): void {
    this.reportBytes.inc({ direction }, bytes);
  }

  /** Calls of callers that left count neither way. */
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

  recordUnplaced(code: string): void {
    this.unplacedCalls.inc({ code });
  }

  /** The metrics as text. */
  async read(): Promise<string> {
    return this.registry.metrics();
  }

  /** Serves the metrics. Rejects when the address can't be had. */
  async open(address: string): Promise<void> {
    const server = createServer((_request, response) => {
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
