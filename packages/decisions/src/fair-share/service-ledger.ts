/**
 * Totals of the service received by each workspace, merged from the rows of all endpoints. Each
 * endpoint's sidecar is the only writer of its row and numbers its reports. The value from the report
 * with the highest number wins for each entry, so duplicated, lost or reordered reports do no harm.
 * A restarted sidecar begins a new row under a later incarnation: the service in its old row still
 * counts, the provisional charges no longer do. The ledger is soft state, rebuilt from full reports.
 */
import type { AccountEntry } from './service-account.ts';
import type { ServiceAdjustment } from './fair-share-order.ts';

/** A report of one sidecar, with the entries that may have changed since a report that the ledger has. */
export interface ServiceRow {
  endpoint: string;
  /** UUIDv7 of the sidecar's process, so later processes sort after earlier ones. */
  incarnation: string;
  /** Number of the report within its incarnation, from 1. */
  sequence: number;
  entries: AccountEntry[];
}

/** Totals of some workspaces, as columns of equal length. */
export interface ServiceTotals {
  workspaces: string[];
  /** Service and provisional charges summed over all rows, divided by weight. */
  services: number[];
}

/** Totals and adjustments that changed since a version of the ledger. */
export interface LedgerChanges {
  version: number;
  totals: ServiceTotals;
  adjustments: ServiceAdjustment[];
}

interface LedgerEntry {
  sequence: number;
  service: number;
  pending: number;
}

interface LedgerRow {
  endpoint: string;
  incarnation: string;
  entries: Map<string, LedgerEntry>;
}

/** Merges rows and maintains the total of each workspace. */
export class ServiceLedger {
  private readonly rows = new Map<string, LedgerRow>();
  /** Latest incarnation by endpoint. */
  private readonly latestIncarnations = new Map<string, string>();
  private readonly serviceTotals = new Map<string, number>();
  /** Version of the ledger in which each total last changed. */
  private readonly totalVersions = new Map<string, number>();
  private readonly adjustments = new Map<string, ServiceAdjustment>();
  /** Version of the ledger in which each adjustment last changed. */
  private readonly adjustmentVersions = new Map<string, number>();
  private version = 0;

  /** Merges a row; entries are ignored if the stored ones come from the same or a later report. */
  mergeRow(row: ServiceRow): void {
    this.version += 1;
    this.updateIncarnation(row.endpoint, row.incarnation);
    const ledgerRow = this.getOrCreateRow(row.endpoint, row.incarnation);
    for (const { workspace, service, pending } of row.entries) {
      const previous = ledgerRow.entries.get(workspace);
      if (previous !== undefined && previous.sequence >= row.sequence) continue;
      const updated = { sequence: row.sequence, service, pending };
      ledgerRow.entries.set(workspace, updated);
      const previousService = previous === undefined ? 0 : this.countedService(ledgerRow, previous);
      this.addToTotal(workspace, this.countedService(ledgerRow, updated) - previousService);
    }
  }

  /** Merges adjustments; `lift` and `forgiven` each keep their maximum. */
  mergeAdjustments(adjustments: readonly ServiceAdjustment[]): void {
    for (const { workspace, lift, forgiven } of adjustments) {
      const current = this.adjustments.get(workspace) ?? { workspace, lift: 0, forgiven: 0 };
      if (lift <= current.lift && forgiven <= current.forgiven) continue;
      this.version += 1;
      this.adjustmentVersions.set(workspace, this.version);
      this.adjustments.set(workspace, {
        workspace,
        lift: Math.max(lift, current.lift),
        forgiven: Math.max(forgiven, current.forgiven),
      });
    }
  }

  /** Returns the total of a workspace over all rows, including provisional charges. */
  totalService(workspace: string): number {
    return this.serviceTotals.get(workspace) ?? 0;
  }

  /** Returns what changed after `version`; for version 0, everything. */
  changesSince(version: number): LedgerChanges {
    const changed = [...this.totalVersions]
      .filter(([, changeVersion]) => changeVersion > version)
      .map(([name]) => name);
    const adjusted = [...this.adjustmentVersions]
      .filter(([, changeVersion]) => changeVersion > version)
      .map(([name]) => name);
    return {
      version: this.version,
      totals: {
        workspaces: changed,
        services: changed.map((workspace) => this.totalService(workspace)),
      },
      adjustments: adjusted.flatMap((workspace) => this.adjustments.get(workspace) ?? []),
    };
  }

  private getOrCreateRow(endpoint: string, incarnation: string): LedgerRow {
    const key = `${endpoint}\u0000${incarnation}`;
    const existing = this.rows.get(key);
    if (existing !== undefined) return existing;
    const created = { endpoint, incarnation, entries: new Map<string, LedgerEntry>() };
    this.rows.set(key, created);
    return created;
  }

  /** Drops the provisional charges of an endpoint's previous incarnation when a later one reports. */
  private updateIncarnation(endpoint: string, incarnation: string): void {
    const current = this.latestIncarnations.get(endpoint);
    if (current !== undefined && current >= incarnation) return;
    const previousRow = current === undefined ? undefined : this.getOrCreateRow(endpoint, current);
    this.latestIncarnations.set(endpoint, incarnation);
    for (const [workspace, entry] of previousRow?.entries ?? [])
      this.addToTotal(workspace, -entry.pending);
  }

  private countedService({ endpoint, incarnation }: LedgerRow, entry: LedgerEntry): number {
    const isLatest = this.latestIncarnations.get(endpoint) === incarnation;
    return entry.service + (isLatest ? entry.pending : 0);
  }

  private addToTotal(workspace: string, service: number): void {
    if (service === 0) return;
    this.serviceTotals.set(workspace, this.totalService(workspace) + service);
    this.totalVersions.set(workspace, this.version);
  }
}
