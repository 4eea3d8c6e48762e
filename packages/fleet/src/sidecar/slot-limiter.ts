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
  private readonly orphanedRuns: OrphanedRuns;
  private readonly batchLimit = new AdaptiveBatchLimit({ maximum: 1 });
  private loadLagMs = 0;
  private reportedBudget = '';

  constructor(options: SlotLimiterOptions) {
    this.options = options;
    this.budget = new PowerBudget(options.endpoint);
    this.orphanedRuns = new OrphanedRuns({ startedAt: options.clock.monotonic() });
  }

  applyConfiguration(configuration: FleetConfiguration): void {
    const endpoint = configuration.endpoints.find((entry) => entry.name === this.options.endpoint);
    this.budget.applyConfiguration(configuration, this.now());
    this.batchLimit.setMaximum(endpoint?.slots ?? 1);
    this.loadLagMs = configuration.power.load_lag_ms;
  }

  /** Notes that a revision was still the highest at a monotonic time. */
  confirmRevision(revision: number, time: number): void {
    this.budget.confirm(revision, time);
  }

  /** Slots that power allows now, with the runs that may be left over taken off. */
  powerSlotLimit(): number {
    return Math.max(0, this.budget.evaluate(this.now()).slots - this.orphanedRuns.upperBound);
  }

  /** Slots that may be filled now. */
  slotLimit(): number {
    this.reportBudgetChange();
    return Math.min(this.powerSlotLimit(), this.batchLimit.limit);
  }

  recordOwnRuns(running: number): void {
    this.orphanedRuns.recordOwnRuns(running, this.now());
  }

  applyLoadReport({ running, waiting, stepMs }: LoadReport): void {
    if (this.loadLagMs === 0) return;
    this.orphanedRuns.applyLoadReport(running + waiting, this.loadLagMs, this.now());
    const previousLimit = this.batchLimit.limit;
    this.batchLimit.observe({ running, stepMs });
    if (this.batchLimit.limit === previousLimit) return;
    const { log, endpoint } = this.getLogging();
    log.info({
      event: 'batch.limit_changed',
      endpoint,
      limit: this.batchLimit.limit,
      step_ms: stepMs,
      target_ms: TOKEN_GAP_TARGET_MS,
    });
  }

  /** A run was given up; `stopped` says whether the endpoint confirms that it no longer works on it. */
  recordAbandoned(id: string, stopped: Promise<boolean>): void {
    this.orphanedRuns.recordAbandoned(id, this.now());
    void stopped.then((confirmed) => {
      if (confirmed) this.orphanedRuns.confirmStopped(id);
    });
  }

  readStatus(): PowerStatus {
    const { slots, cause } = this.budget.evaluate(this.now());
    const confirmed = this.budget.isConfirmed(this.now());
    const status = { powerSlots: slots, cause, confirmed, batchLimit: this.batchLimit.limit };
    const leftover = this.orphanedRuns.upperBound;
    return Number.isFinite(leftover) ? { ...status, leftover } : status;
  }

  /** Tells of a changed budget, once. */
  private reportBudgetChange(): void {
    const { slots, cause } = this.budget.evaluate(this.now());
    const budget = `${slots} ${cause}`;
    if (budget === this.reportedBudget) return;
    this.reportedBudget = budget;
    const { log, endpoint, metrics } = this.getLogging();
    metrics.gauge(Metric.SlotsBudget, slots, { endpoint });
    const event = { event: 'power.budget', endpoint, slots, cause };
    if (cause === BudgetCause.Unconfirmed) log.warn(event);
    else log.info(event);
  }

  private getLogging() {
    const { log, metrics, endpoint } = this.options;
    return { log, metrics, endpoint };
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
