/**
 * Service received by workspaces, as rows of cumulative cost. Each endpoint's sidecar is the only
 * writer of its row; rows merge by maximum, so duplicates, loss and reordering do no harm. A restart
 * of the writer begins a new row under a new incarnation.
 */

/** Cumulative cost that one workspace received from one writer. */
export interface ServiceEntry {
  workspace: string;
  /** Cost units since the incarnation began; never falls. */
  cost: number;
}

/** What one writer reports. */
export interface ServiceRow {
  endpoint: string;
  incarnation: string;
  entries: ServiceEntry[];
}

/** Merges rows and keeps the total of each workspace. */
export class ServiceLedger {
  private readonly rows = new Map<string, Map<string, number>>();
  private readonly totals = new Map<string, number>();

  /** Takes a row in; what is older than what is known changes nothing. */
  merge(row: ServiceRow): void {
    const key = `${row.endpoint}\u0000${row.incarnation}`;
    const known = this.rows.get(key) ?? new Map<string, number>();
    this.rows.set(key, known);
    for (const entry of row.entries) {
      const before = known.get(entry.workspace) ?? 0;
      if (entry.cost <= before) continue;
      known.set(entry.workspace, entry.cost);
      this.totals.set(entry.workspace, this.total(entry.workspace) + entry.cost - before);
    }
  }

  /** Total cost of a workspace over all rows. */
  total(workspace: string): number {
    return this.totals.get(workspace) ?? 0;
  }

  /** Totals of all workspaces. */
  entries(): ServiceEntry[] {
    return [...this.totals].map(([workspace, cost]) => ({ workspace, cost }));
  }
}
