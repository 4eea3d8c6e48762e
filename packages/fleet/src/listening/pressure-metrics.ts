/** Sends what listeners give up to the fleet's metrics. */
import type { HoldingKind } from '@poplarpick/decisions';
import { Metric } from '@poplarpick/kernel';
import type { Metrics } from '@poplarpick/kernel';
import type { CollectionKind } from './v8-collections.ts';
import type { ClosingReason } from './listener-guard.ts';
import type { PressureRecorder } from './process-listeners.ts';

/** Counts for the collector of one process. */
export class PressureMetrics implements PressureRecorder {
  private readonly metrics: Metrics;

  constructor(metrics: Metrics) {
    this.metrics = metrics;
  }

  recordYield(kind: HoldingKind): void {
    this.metrics.increment(Metric.Yields, 1, { kind });
  }

  recordClosing(listener: string, reason: ClosingReason): void {
    this.metrics.increment(Metric.ConnectionsClosed, 1, { listener, reason });
  }

  recordCollection(kind: CollectionKind): void {
    this.metrics.increment(Metric.Collections, 1, { generation: kind });
  }
}
