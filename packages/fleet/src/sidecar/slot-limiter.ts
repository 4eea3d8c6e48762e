/**
 * How many requests may run at the endpoint now: the least of the power budget and the learned batch
 * limit, less the runs that may be left over from before. Part of the admission task.
 */
import {
  AdaptiveBatchLimit,
  BudgetCause,
  OrphanedRuns,
  PowerBudget,
  TOKEN_GAP_TARGET_MS,
} from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Metric } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics } from '@poplarpick/kernel';
import type { LoadReport } from './load-poller.ts';

/** Options of a `SlotLimiter`. */
export interface SlotLimiterOptions {
  endpoint: string;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

/** What the gate tells operators. */
export interface PowerStatus {
  /** Slots that power allows. */
  powerSlots: number;
  cause: BudgetCause;
  /** Whether the configuration is known to be the latest. */
  confirmed: boolean;
  batchLimit: number;
  /** Runs that may be left over; absent before the first load report. */
  leftover?: number;
}

/** Says how many slots may be in use. */
export class SlotLimiter {
  private readonly options: SlotLimiterOptions;
  private readonly budget: PowerBudget;
  private readonly leftover: OrphanedRuns;
  private readonly batch = new AdaptiveBatchLimit({ maximum: 1 });
  private loadLagMs = 0;
  private shown = '';

  constructor(options: SlotLimiterOptions) {
    this.options = options;
    this.budget = new PowerBudget(options.endpoint);
    this.leftover = new OrphanedRuns({ startedAt: options.clock.monotonic() });
  }

  applyConfiguration(configuration: FleetConfiguration): void {
    const line = configuration.endpoints.find((entry) => entry.name === this.options.endpoint);
    this.budget.applyConfiguration(configuration, this.now());
    this.batch.setMaximum(line?.slots ?? 1);
    this.loadLagMs = configuration.power.load_lag_ms;
  }

  /** Notes that a revision was still the highest at a monotonic time. */
  confirmRevision(revision: number, time: number): void {
    this.budget.confirm(revision, time);
  }

  /** Slots that power allows now, with the runs that may be left over taken off. */
  powerSlotLimit(): number {
    return Math.max(0, this.budget.evaluate(this.now()).slots - this.leftover.upperBound);
  }

  /** Slots that may be filled now. */
  slotLimit(): number {
    this.show();
    return Math.min(this.powerSlotLimit(), this.batch.limit);
  }

  recordOwnRuns(running: number): void {
    this.leftover.recordOwnRuns(running, this.now());
  }

  applyLoadReport({ running, waiting, stepMs }: LoadReport): void {
    if (this.loadLagMs === 0) return;
    this.leftover.applyLoadReport(running + waiting, this.loadLagMs, this.now());
    const before = this.batch.limit;
    this.batch.observe({ running, stepMs });
    if (this.batch.limit === before) return;
    const { log, endpoint } = this.fields();
    log.info({
      event: 'batch.limit_changed',
      endpoint,
      limit: this.batch.limit,
      step_ms: stepMs,
      target_ms: TOKEN_GAP_TARGET_MS,
    });
  }

  /** A run was given up; `stopped` says whether the endpoint confirms that it no longer works on it. */
  recordAbandoned(id: string, stopped: Promise<boolean>): void {
    this.leftover.recordAbandoned(id, this.now());
    void stopped.then((confirmed) => {
      if (confirmed) this.leftover.confirmStopped(id);
    });
  }

  readStatus(): PowerStatus {
    const { slots, cause } = this.budget.evaluate(this.now());
    const confirmed = this.budget.isConfirmed(this.now());
    const status = { powerSlots: slots, cause, confirmed, batchLimit: this.batch.limit };
    const leftover = this.leftover.upperBound;
    return Number.isFinite(leftover) ? { ...status, leftover } : status;
  }

  /** Tells of a changed budget, once. */
  private show(): void {
    const { slots, cause } = this.budget.evaluate(this.now());
    const text = `${slots} ${cause}`;
    if (text === this.shown) return;
    this.shown = text;
    const { log, endpoint, metrics } = this.fields();
    metrics.gauge(Metric.SlotsBudget, slots, { endpoint });
    const line = { event: 'power.budget', endpoint, slots, cause };
    if (cause === BudgetCause.Unconfirmed) log.warn(line);
    else log.info(line);
  }

  private fields() {
    const { log, metrics, endpoint } = this.options;
    return { log, metrics, endpoint };
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
