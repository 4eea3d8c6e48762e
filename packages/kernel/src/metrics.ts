/**
 * Metrics over StatsD, sent with hot-shots. Names are an enum, so that a test can check that
 * `docs/operators/metrics.md`, which also gives the units, lists every one.
 */
import { StatsD } from 'hot-shots';

/** Names of all metrics. */
export enum Metric {
  Requests = 'requests',
  RequestsFailed = 'requests.failed',
  FirstTokenMs = 'request.first_token_ms',
  QueueMs = 'request.queue_ms',
  QueueDepth = 'router.queue_depth',
  SlotsBusy = 'sidecar.slots_busy',
  SlotsBudget = 'sidecar.slots_budget',
  TokensProduced = 'sidecar.tokens',
  LinksReplaced = 'links.replaced',
  ControlBytes = 'links.control_bytes',
  ConfigurationRevision = 'configuration.revision',
  Repairs = 'repairs',
  Orders = 'orders.given',
  Yields = 'listeners.yields',
  ConnectionsClosed = 'listeners.connections_closed',
  Collections = 'listeners.collections',
  HeldBytes = 'listeners.held_bytes',
  CertificateDaysLeft = 'trust.certificate_days_left',
}

/** Tags (dimensions) of one sample. */
export type MetricTags = Record<string, string>;

/** Sink for metric samples. */
export abstract class Metrics {
  abstract increment(metric: Metric, by?: number, tags?: MetricTags): void;
  abstract gauge(metric: Metric, value: number, tags?: MetricTags): void;
  abstract timing(metric: Metric, milliseconds: number, tags?: MetricTags): void;
  abstract close(): void;
}

/** Options of `StatsdMetrics`. */
export interface StatsdOptions {
  /** Address of the StatsD collector. */
  ip: string;
  port: number;
  /** Tags on every sample, such as host and data centre. */
  tags?: MetricTags;
}

/** Sends samples to a StatsD collector over UDP. */
export class StatsdMetrics extends Metrics {
  private readonly client: StatsD;

  constructor(options: StatsdOptions) {
    super();
    this.client = new StatsD({
      host: options.ip,
      port: options.port,
      prefix: 'poplarpick.',
      globalTags: options.tags ?? {},
      errorHandler: () => undefined,
    });
  }

  override increment(metric: Metric, by = 1, tags: MetricTags = {}): void {
    this.client.increment(metric, by, tags);
  }

  override gauge(metric: Metric, value: number, tags: MetricTags = {}): void {
    this.client.gauge(metric, value, tags);
  }

  override timing(metric: Metric, milliseconds: number, tags: MetricTags = {}): void {
    this.client.timing(metric, milliseconds, tags);
  }

  override close(): void {
    this.client.close(() => undefined);
  }
}

/** Discards every sample; used when no collector is configured. */
export class NoopMetrics extends Metrics {
  override increment(): void {
    return;
  }

  override gauge(): void {
    return;
  }

  override timing(): void {
    return;
  }

  override close(): void {
    return;
  }
}
