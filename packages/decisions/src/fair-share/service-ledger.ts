/**
 * Service received by workspaces, merged from the rows of all endpoints. Each endpoint's sidecar is
 * the only writer of its row and numbers its reports; of two values of an entry the one of the later
 * report holds, so duplicates, loss and reordering do no harm. A restart of the writer begins a new
 * row under a later incarnation: what the old one produced stays counted, its provisional charges go.
 * The ledger is soft state: full reports rebuild it.
 */
import type { AccountEntry } from './service-account.ts';
import type { ServiceAdjustment } from './fair-share-order.ts';

/** What a writer reports: entries that may have changed since a report that the ledger has. */
export interface ServiceRow {
  endpoint: string;
  /** UUIDv7 of the writer's process, so that a later one sorts after it. */
  incarnation: string;
  /** Counts the reports of an incarnation from 1. */
  sequence: number;
  entries: AccountEntry[];
}

/** Totals of some workspaces, as columns of equal length. */
export interface ServiceTotals {
  workspaces: string[];
  /** Service and provisional charges over all rows, divided by weight. */
  services: number[];
}

/** What has changed since a version of the ledger. */
export interface LedgerChanges {
  version: number;
  totals: ServiceTotals;
  adjustments: ServiceAdjustment[];
}

interface KnownEntry {
  sequence: number;
  service: number;
  pending: number;
}

interface KnownRow {
  endpoint: string;
  incarnation: string;
  entries: Map<string, KnownEntry>;
}

/** Merges rows and keeps the total of each workspace. */
export class ServiceLedger {
  private readonly rows = new Map<string, KnownRow>();
  private readonly latest = new Map<string, string>();
  private readonly sums = new Map<string, number>();
  private readonly changedAt = new Map<string, number>();
  private readonly adjustments = new Map<string, ServiceAdjustment>();
  private readonly adjustedAt = new Map<string, number>();
  private version = 0;

  /** Takes a row in; what is older than what is known changes nothing. */
  mergeRow(row: ServiceRow): void {
    this.version += 1;
    this.noteIncarnation(row.endpoint, row.incarnation);
    const known = this.row(row.endpoint, row.incarnation);
    for (const { workspace, service, pending } of row.entries) {
      const before = known.entries.get(workspace);
      if (before !== undefined && before.sequence >= row.sequence) continue;
      const after = { sequence: row.sequence, service, pending };
      known.entries.set(workspace, after);
      const counted = before === undefined ? 0 : this.charged(known, before);
      this.add(workspace, this.charged(known, after) - counted);
    }
  }

  /** Takes adjustments in; each part holds the greatest value it was given. */
  mergeAdjustments(adjustments: readonly ServiceAdjustment[]): void {
    for (const { workspace, lift, forgiven } of adjustments) {
      const known = this.adjustments.get(workspace) ?? { workspace, lift: 0, forgiven: 0 };
      if (lift <= known.lift && forgiven <= known.forgiven) continue;
      this.version += 1;
      this.adjustedAt.set(workspace, this.version);
      this.adjustments.set(workspace, {
        workspace,
        lift: Math.max(lift, known.lift),
        forgiven: Math.max(forgiven, known.forgiven),
      });
    }
  }

  /** Total of a workspace over all rows, provisional charges included. */
  totalService(workspace: string): number {
    return this.sums.get(workspace) ?? 0;
  }

  /** What has changed after `version`; everything after version 0. */
  changesSince(version: number): LedgerChanges {
    const changed = [...this.changedAt].filter(([, at]) => at > version).map(([name]) => name);
    const adjusted = [...this.adjustedAt].filter(([, at]) => at > version).map(([name]) => name);
    return {
      version: this.version,
      totals: {
        workspaces: changed,
        services: changed.map((workspace) => this.totalService(workspace)),
      },
      adjustments: adjusted.flatMap((workspace) => this.adjustments.get(workspace) ?? []),
    };
  }

  private row(endpoint: string, incarnation: string): KnownRow {
    const key = `${endpoint}\u0000${incarnation}`;
    const known = this.rows.get(key);
    if (known !== undefined) return known;
    const made = { endpoint, incarnation, entries: new Map<string, KnownEntry>() };
    this.rows.set(key, made);
    return made;
  }

  /** Drops the provisional charges of an endpoint's earlier process when a later one reports. */
  private noteIncarnation(endpoint: string, incarnation: string): void {
    const current = this.latest.get(endpoint);
    if (current !== undefined && current >= incarnation) return;
    const old = current === undefined ? undefined : this.row(endpoint, current);
    this.latest.set(endpoint, incarnation);
    for (const [workspace, entry] of old?.entries ?? []) this.add(workspace, -entry.pending);
  }

  private charged({ endpoint, incarnation }: KnownRow, entry: KnownEntry): number {
    const isLatest = this.latest.get(endpoint) === incarnation;
    return entry.service + (isLatest ? entry.pending : 0);
  }

  private add(workspace: string, service: number): void {
    if (service === 0) return;
    this.sums.set(workspace, this.totalService(workspace) + service);
    this.changedAt.set(workspace, this.version);
  }
}
