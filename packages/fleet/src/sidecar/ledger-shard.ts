/**
 * What one sidecar and one ledger shard have told each other: which entries the shard still lacks,
 * and which totals it has sent. A shard that starts anew begins a new session, with a full report.
 */
import type { AccountEntry, ServiceTotals } from '@poplarpick/decisions';
import type { EndpointKind } from '@poplarpick/decisions';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod } from '../messages.ts';
import type { Report, ReportAnswer } from '../messages.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Options of a `LedgerShard`. */
export interface LedgerShardOptions {
  peer: Peer;
  meter: ServiceMeter;
}

/** One report to be made. */
export interface ReportRequest {
  kind: EndpointKind;
  sequence: number;
  /** Whether the answer is to have the totals that have changed. */
  wantsTotals: boolean;
}

/** The session with one ledger shard. */
export class LedgerShard {
  readonly peer: Peer;
  private readonly meter: ServiceMeter;
  private readonly unreported: Set<string>;
  private readonly unadjusted: Set<string>;
  private readonly reported = new Map<string, number>();
  private readonly totals = new Map<string, number>();
  private version = 0;

  constructor({ peer, meter }: LedgerShardOptions) {
    this.peer = peer;
    this.meter = meter;
    this.unreported = new Set(meter.charged());
    this.unadjusted = new Set(meter.fairShare.adjustments().map(({ workspace }) => workspace));
  }

  /** Whether the shard lacks something. */
  get isBehind(): boolean {
    return this.unreported.size > 0 || this.unadjusted.size > 0;
  }

  noteCharge(workspace: string): void {
    this.unreported.add(workspace);
  }

  noteAdjustment(workspace: string): void {
    this.unadjusted.add(workspace);
  }

  /** What the other endpoints gave, as this shard told. */
  others(workspace: string): number {
    return this.totals.get(workspace) ?? 0;
  }

  /**
   * Makes a report and returns the totals of the others that have changed. Rejects when the shard
   * does not answer; the next report then has what this one had.
   */
  async report({ kind, sequence, wantsTotals }: ReportRequest): Promise<ReportAnswer> {
    const entries = this.meter.entries(this.unreported);
    const adjustments = this.meter.adjustments(this.unadjusted);
    const report: Report = { kind, sequence, entries, adjustments };
    if (wantsTotals) report.known = this.version;
    this.unreported.clear();
    this.unadjusted.clear();
    for (const entry of entries) this.reported.set(entry.workspace, chargedOf(entry));
    const own = wantsTotals ? new Map(this.reported) : undefined;
    try {
      const answer = await this.peer.link.call(CallMethod.Report, report);
      if (own === undefined || answer.version === undefined) return answer;
      this.version = Math.max(this.version, answer.version);
      return { ...answer, totals: this.accept(answer.totals, own) };
    } catch (error) {
      entries.forEach(({ workspace }) => this.unreported.add(workspace));
      adjustments.forEach(({ workspace }) => this.unadjusted.add(workspace));
      throw error;
    }
  }

  /** Takes what this sidecar itself had reported out of the totals. */
  private accept(totals: ServiceTotals | undefined, own: ReadonlyMap<string, number>) {
    const { workspaces, services } = totals ?? { workspaces: [], services: [] };
    const others = workspaces.map(
      (workspace, index) => (services[index] ?? 0) - (own.get(workspace) ?? 0),
    );
    workspaces.forEach((workspace, index) => this.totals.set(workspace, others[index] ?? 0));
    return { workspaces, services: others };
  }
}

function chargedOf({ service, pending }: AccountEntry): number {
  return service + pending;
}
