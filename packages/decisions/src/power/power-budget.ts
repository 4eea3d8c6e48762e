/**
 * Slots that one endpoint may use now, while configuration revisions are being switched. A revision
 * stays in flight for the settle time after its successor has arrived, and the budget is the least of
 * those in flight: it shrinks at once and grows only when every other process has had the settle time
 * to shrink. A process that cannot tell whether its revision is the latest uses the floor, which is
 * safe under every preset.
 */
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { computeSlotBudget, computeSlotFloor } from './slot-budget.ts';

/** Part of the settle time that is kept for shrinking once the lease of a process has ended. */
export const SHRINK_MARGIN_MS = 500;

/** Why a budget is what it is. */
export enum BudgetCause {
  /** Nothing is configured yet. */
  Unconfigured = 'unconfigured',
  /** The revision in force allows it. */
  InForce = 'in-force',
  /** An earlier revision is still in flight. */
  Settling = 'settling',
  /** The process has not confirmed in time that its revision is the latest. */
  Unconfirmed = 'unconfirmed',
}

/** Slots and the reason for their number. */
export interface SlotBudget {
  slots: number;
  cause: BudgetCause;
}

interface RevisionInFlight {
  slots: number;
  /** Time at which the next revision arrived. */
  supersededAt: number;
}

/** Time for which a confirmation that the revision is the latest holds, from when it was asked for. */
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

  /** Takes over a revision higher than the last. Its arrival also confirms it. */
  applyConfiguration(configuration: FleetConfiguration, now: number): void {
    const earlier = this.configuration;
    this.configuration = configuration;
    if (earlier !== undefined) this.superseded.push({ slots: this.slots, supersededAt: now });
    this.slots = computeSlotBudget(configuration, this.endpoint);
    this.floor = computeSlotFloor(configuration, this.endpoint);
    // Revisions that this process has not seen may be in flight elsewhere.
    if (earlier?.revision !== configuration.revision - 1)
      this.superseded.push({ slots: this.floor, supersededAt: now });
    this.confirmedAt = now;
  }

  /** Notes that at `time` no revision higher than this one was in force anywhere. */
  confirm(revision: number, time: number): void {
    if (revision !== this.configuration?.revision) return;
    this.confirmedAt = Math.max(this.confirmedAt, time);
  }

  /** Whether the revision is known to be the latest, or to have been within the lease. */
  isConfirmed(now: number): boolean {
    const { configuration } = this;
    return (
      configuration !== undefined &&
      now <= this.confirmedAt + computeConfirmationLeaseMs(configuration)
    );
  }

  /** The slots that may be in use now. */
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
