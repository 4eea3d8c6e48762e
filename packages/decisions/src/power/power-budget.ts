/**
 * Computes how many slots one endpoint may use while the fleet switches between configuration
 * revisions. A revision stays in flight for the settle time after its successor has arrived, and the
 * budget is the smallest of all revisions in flight. So it shrinks immediately, and grows only after
 * every other process has had the settle time to shrink. A process without a recent confirmation that
 * its revision is the latest uses the floor, which is safe under every preset.
 */
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { computeSlotBudget, computeSlotFloor } from './slot-budget.ts';

/** Part of the settle time that remains for shrinking after a process's confirmation lease expires. */
export const SHRINK_MARGIN_MS = 500;

/** What determines a budget. */
export enum BudgetCause {
  /** No configuration has arrived yet. */
  Unconfigured = 'unconfigured',
  /** The revision in force determines the budget. */
  InForce = 'in-force',
  /** An earlier revision that is still in flight limits the budget. */
  Settling = 'settling',
  /** The confirmation that the revision is the latest has expired. */
  Unconfirmed = 'unconfirmed',
}

/** Number of slots, and what determines it. */
export interface SlotBudget {
  slots: number;
  cause: BudgetCause;
}

/** A superseded revision whose settle time has not passed. */
interface RevisionInFlight {
  slots: number;
  /** Time at which the next revision arrived. */
  supersededAt: number;
}

/**
 * How long a confirmation that the revision is the latest is valid, in milliseconds from when it was
 * requested.
 */
export function computeConfirmationLeaseMs(configuration: FleetConfiguration): number {
  return configuration.power.settle_ms - SHRINK_MARGIN_MS;
}

/** Tracks the revisions in flight for one endpoint. All times are monotonic milliseconds. */
export class PowerBudget {
  private readonly endpoint: string;
  private superseded: RevisionInFlight[] = [];
  private configuration: FleetConfiguration | undefined;
  private slots = 0;
  private floor = 0;
  private confirmedAt = -Infinity;

  constructor(endpoint: string) {
    this.endpoint = endpoint;
  }

  /** Applies a revision higher than the last one. Its arrival also counts as its confirmation. */
  applyConfiguration(configuration: FleetConfiguration, now: number): void {
    const earlier = this.configuration;
    this.configuration = configuration;
    if (earlier !== undefined) this.superseded.push({ slots: this.slots, supersededAt: now });
    this.slots = computeSlotBudget(configuration, this.endpoint);
    this.floor = computeSlotFloor(configuration, this.endpoint);
    // Revisions that this process has skipped may still be in flight elsewhere.
    if (earlier?.revision !== configuration.revision - 1)
      this.superseded.push({ slots: this.floor, supersededAt: now });
    this.confirmedAt = now;
  }

  /** Records that no revision higher than this one was in force anywhere at `time`. */
  confirm(revision: number, time: number): void {
    if (revision !== this.configuration?.revision) return;
    this.confirmedAt = Math.max(this.confirmedAt, time);
  }

  /** Whether the last confirmation that the revision is the latest is still within its lease. */
  isConfirmed(now: number): boolean {
    const { configuration } = this;
    return (
      configuration !== undefined &&
      now <= this.confirmedAt + computeConfirmationLeaseMs(configuration)
    );
  }

  /** The number of slots that may be in use at `now`. */
  evaluate(now: number): SlotBudget {
    const { configuration } = this;
    if (configuration === undefined) return { slots: 0, cause: BudgetCause.Unconfigured };
    this.superseded = this.superseded.filter(
      ({ supersededAt }) => now < supersededAt + configuration.power.settle_ms,
    );
    const settledSlots = Math.min(this.slots, ...this.superseded.map((revision) => revision.slots));
    if (!this.isConfirmed(now) && this.floor < settledSlots)
      return { slots: this.floor, cause: BudgetCause.Unconfirmed };
    const cause = settledSlots < this.slots ? BudgetCause.Settling : BudgetCause.InForce;
    return { slots: settledSlots, cause };
  }
}
