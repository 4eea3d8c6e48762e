/**
 * Service that workspaces received: the sidecar's own row, which it alone writes, and the fleet's
 * totals as the ledger shard last told them. Between two reports, own charges since are added.
 */
import type { ServiceEntry, ServiceRow } from '@poplarpick/decisions';

/** Meters the service of one endpoint. */
export class ServiceMeter {
  private readonly endpoint: string;
  private readonly incarnation: string;
  private readonly own = new Map<string, number>();
  private readonly reported = new Map<string, number>();
  private fleet = new Map<string, number>();

  constructor(endpoint: string, incarnation: string) {
    this.endpoint = endpoint;
    this.incarnation = incarnation;
  }

  /** Adds cost to a workspace. */
  charge(workspace: string, cost: number): void {
    if (cost > 0) this.own.set(workspace, this.ownCost(workspace) + cost);
  }

  /** The whole row, for a report; remembers what it says. */
  report(): ServiceRow {
    const entries = [...this.own].map(([workspace, cost]) => ({ workspace, cost }));
    for (const { workspace, cost } of entries) this.reported.set(workspace, cost);
    return { endpoint: this.endpoint, incarnation: this.incarnation, entries };
  }

  /** Takes the fleet's totals, which include the last report. */
  setTotals(totals: readonly ServiceEntry[]): void {
    this.fleet = new Map(totals.map(({ workspace, cost }) => [workspace, cost]));
  }

  /** Fleet-wide cost of a workspace, own charges since the last report included. */
  total(workspace: string): number {
    const own = this.ownCost(workspace);
    const fleet = this.fleet.get(workspace);
    if (fleet === undefined) return own;
    return fleet + own - (this.reported.get(workspace) ?? 0);
  }

  private ownCost(workspace: string): number {
    return this.own.get(workspace) ?? 0;
  }
}
