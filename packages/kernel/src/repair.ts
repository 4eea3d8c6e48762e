/**
 * Reports automatic repairs to operators. Each repair writes one log line `event=repair.<kind>` and
 * increments `Metric.Repairs` once, both with the cause, so that every action the fleet takes on its
 * own is visible.
 */
import type { Logger } from './log.ts';
import { Metric } from './metrics.ts';
import type { Metrics } from './metrics.ts';

/** Kinds of automatic repair. */
export enum RepairKind {
  /** A lost link was replaced by a new one. */
  LinkReplaced = 'link_replaced',
  /** A host that does not answer is now suspected of having failed. */
  HostSuspected = 'host_suspected',
  /** A suspected host answers again and is trusted. */
  HostTrusted = 'host_trusted',
  /** Ownership of a ledger shard moved to another router. */
  ShardMoved = 'shard_moved',
  /** A preset is now fully in force. */
  PresetSettled = 'preset_settled',
  /** An engine's state differed from the ordered state and was corrected. */
  OrderCorrected = 'order_corrected',
  /** A request was queued again because its sidecar had not started it. */
  RequestRequeued = 'request_requeued',
}

/** One automatic repair. */
export interface Repair {
  kind: RepairKind;
  /** Reason for the repair, from a small fixed set, because it is also a tag of the counter. */
  cause: string;
  /** The host, endpoint, shard or preset that was repaired. */
  subject: string;
}

/** The logger and metrics that repairs are reported to; a `Kernel` has both. */
export interface RepairSink {
  log: Logger;
  metrics: Metrics;
}

/** Writes the log line and increments the counter of a repair. */
export function reportRepair(sink: RepairSink, repair: Repair): void {
  const { kind, cause, subject } = repair;
  sink.log.warn({ event: `repair.${kind}`, cause, subject });
  sink.metrics.increment(Metric.Repairs, 1, { kind, cause });
}
