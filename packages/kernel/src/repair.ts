/**
 * Automatic repairs are told to operators: each is one log line `event=repair.<kind>` and one count of
 * `Metric.Repairs`, both with the cause, so that nothing that the fleet does by itself stays unseen.
 */
import type { Logger } from './log.ts';
import { Metric } from './metrics.ts';
import type { Metrics } from './metrics.ts';

/** What was repaired. */
export enum RepairKind {
  /** A lost link has been replaced by a new one. */
  LinkReplaced = 'link_replaced',
  /** A host that does not answer is no longer counted on. */
  HostSuspected = 'host_suspected',
  /** A suspected host answers again. */
  HostTrusted = 'host_trusted',
  /** A ledger shard is kept by another router than before. */
  ShardMoved = 'shard_moved',
  /** A preset has come into force in all its parts. */
  PresetSettled = 'preset_settled',
  /** An engine's state differed from its order and was corrected. */
  OrderCorrected = 'order_corrected',
  /** A request was queued again, since its sidecar had not started it. */
  RequestRequeued = 'request_requeued',
}

/** One automatic repair. */
export interface Repair {
  kind: RepairKind;
  /** Why it was made, in a few fixed words, since it is also a tag of the counter. */
  cause: string;
  /** What was repaired: a host, endpoint, shard or preset. */
  subject: string;
}

/** Where repairs are told; a `Kernel` is one. */
export interface RepairSink {
  log: Logger;
  metrics: Metrics;
}

/** Writes the log line and counts the repair. */
export function reportRepair(outlet: RepairSink, repair: Repair): void {
  const { kind, cause, subject } = repair;
  outlet.log.warn({ event: `repair.${kind}`, cause, subject });
  outlet.metrics.increment(Metric.Repairs, 1, { kind, cause });
}
