/**
 * Computes how many requests may run at the endpoint now: the power budget less the orphaned runs that
 * may still use power, or the adaptive batch limit if that is lower. Part of the admission task.
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

/** Status of the limiter, as shown to operators. */
export interface PowerStatus {
  /** Slots that the power budget allows. */
  powerSlots: number;
  cause: BudgetCause;
  /** Whether the configuration revision is confirmed to be the latest. */
  confirmed: boolean;
  batchLimit: number;
  /** Most orphaned runs that may exist; absent before the first usable load report. */
  leftover?: number;
}

/** Limits how many slots of an endpoint may be in use. */
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

  /** Records that no higher revision was in force anywhere at the monotonic time `time`. */
  confirmRevision(revision: number, time: number): void {
    this.budget.confirm(revision, time);
  }

  /** Slots that the power budget allows now, less those that orphaned runs may use. */
  powerSlotLimit(): number {
    return Math.max(0, this.budget.evaluate(this.now()).slots - this.orphanedRuns.upperBound);
  }

  /** Slots that may be in use now. */
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

  /** Records an abandoned run; `stopped` resolves to whether the endpoint has confirmed its stop. */
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

  /** Logs the power budget, and sets its metric, if it has changed. */
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
