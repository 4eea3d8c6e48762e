/** The gauges of one router, which read its state only when the metrics are collected. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import { HoldingKind } from '@poplarpick/decisions';

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
  /** Median time that connections to endpoints take to open; undefined without any lately. */
  openingMs: () => number | undefined;
  /** Bytes a second that callers send and get. */
  callerBytes: () => Record<'received' | 'sent', number>;
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
  /** Age of the oldest usage of workspaces that counts. */
  usageAgeMs: () => number;
  /** Tokens that all workspaces demanded and were granted within the window, over all routers. */
  shareTokens: () => Record<'demanded' | 'granted', number>;
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

/** Adds the gauges of a router to its metrics. */
export function addGauges(registry: Registry, source: MetricsSource): void {
  addGauge(
    registry,
    'poplarpick_key_age_seconds',
    'Time since the keys were last confirmed as current',
    () => Math.min(source.keyAgeMs(), Number.MAX_SAFE_INTEGER) / MS_PER_SECOND,
  );
  addGauge(
    registry,
    'poplarpick_routes_version',
    'Version of the current routes',
    source.routesVersion,
  );
  addGauge(registry, 'poplarpick_endpoints', 'Known endpoints', source.endpoints);
  addGauge(registry, 'poplarpick_routers', 'Live routers, including this one', source.routers);
  addGauge(
    registry,
    'poplarpick_second_attempts_left',
    'Retries that the budgets of all pools still allow this router',
    source.remainingRetries,
  );
  addGauge(
    registry,
    'poplarpick_event_loop_delay_seconds',
    'Mean time by which timers of the event loop fire late',
    () => source.eventLoopDelayMs() / MS_PER_SECOND,
  );
  addGauge(
    registry,
    'poplarpick_event_loop_utilization',
    'Mean fraction of time in which the event loop has work',
    source.eventLoopUtilization,
  );
  addGauge(
    registry,
    'poplarpick_endpoint_opening_seconds',
    'Median time that connections to endpoints took to open in the last second',
    () => (source.openingMs() ?? 0) / MS_PER_SECOND,
  );
  addLabelledGauge(
    registry,
    'poplarpick_caller_bytes_per_second',
    'Bytes that callers send and get, by direction as the router sees it',
    'direction',
    source.callerBytes,
  );
  addGauge(
    registry,
    'poplarpick_prompt_segments_blocked',
    'Prompt segments that are blocked, since they have crashed endpoints',
    source.blockedSegments,
  );
  addGauge(
    registry,
    'poplarpick_requests_blocked',
    'Requests that are blocked, since they have crashed endpoints',
    source.blockedRequests,
  );
  addGauge(
    registry,
    'poplarpick_endpoints_cold',
    'Endpoints that are cold and bear few requests a second',
    source.coldEndpoints,
  );
  addGauge(
    registry,
    'poplarpick_data_centres_evacuated',
    'Data centres whose endpoints get no new requests until they are taken back',
    source.evacuatedDataCentres,
  );
  addGauge(
    registry,
    'poplarpick_endpoints_limited',
    'Endpoints that name a limit of the requests that they take',
    source.limitedEndpoints,
  );
  addGauge(
    registry,
    'poplarpick_log_lines_dropped',
    'Log lines dropped because the log reader was too slow',
    source.logLinesDropped,
  );
  addGauge(
    registry,
    'poplarpick_held_budget_bytes',
    'Bytes that may be held for callers',
    source.heldBudgetBytes,
  );
  addLabelledGauge(
    registry,
    'poplarpick_held_bytes',
    'Bytes that are held for callers',
    'kind',
    () =>
      Object.fromEntries(Object.values(HoldingKind).map((kind) => [kind, source.heldBytes(kind)])),
  );
  addLabelledGauge(
    registry,
    'poplarpick_connections',
    'Open connections',
    'listener',
    source.connections,
  );
  addReportAges(registry, source.reportAges);
  addGauge(
    registry,
    'poplarpick_usage_age_seconds',
    'Age of the oldest usage of workspaces of another router that counts',
    () => source.usageAgeMs() / MS_PER_SECOND,
  );
  addLabelledGauge(
    registry,
    'poplarpick_share_tokens',
    'Tokens that all workspaces demanded and were granted within the window of the shares',
    'kind',
    source.shareTokens,
  );
}

function addReportAges(registry: Registry, read: () => ReportAges): void {
  new Gauge({
    name: 'poplarpick_report_age_seconds',
    help: 'Age of the latest reports, by the data centre of their senders and quantile',
    labelNames: ['senders', 'quantile'],
    registers: [registry],
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

function addLabelledGauge(
  registry: Registry,
  name: string,
  help: string,
  label: string,
  read: () => Record<string, number>,
): void {
  new Gauge({
    name,
    help,
    labelNames: [label],
    registers: [registry],
    collect() {
      for (const [value, count] of Object.entries(read())) this.set({ [label]: value }, count);
    },
  });
}

function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}

/** The value below which a fraction of the values lie, by nearest rank; undefined without values. */
function findQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(quantile * sorted.length) - 1)];
}
