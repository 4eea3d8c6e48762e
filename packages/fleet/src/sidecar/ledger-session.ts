/**
 * What one sidecar and one ledger shard have told each other: which entries the shard still lacks,
 * and which totals it has sent. A link delivers in order or is lost, so what was sent need not be
 * acknowledged; a new link, or a shard that starts anew, begins a new session with a full report.
 */
import type { AccountEntry, EndpointKind, ServiceTotals } from '@poplarpick/decisions';
import { ColumnReader, ColumnWriter, roundToWire } from '../ledger/service-columns.ts';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NoticeMethod } from '../messages.ts';
import type { Report } from '../messages.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Options of a `LedgerSession`. */
export interface LedgerSessionOptions {
  peer: Peer;
  meter: ServiceMeter;
}

/** Marks a report. */
export interface ReportHeader {
  kind: EndpointKind;
  sequence: number;
}

/** The session with one ledger shard. */
export class LedgerSession {
  readonly peer: Peer;
  private readonly meter: ServiceMeter;
  private readonly writer = new ColumnWriter();
  private readonly reader = new ColumnReader();
  private readonly unreported: Set<string>;
  private readonly unadjusted: Set<string>;
  private readonly reported = new Map<string, number>();
  private readonly totals = new Map<string, number>();
  private version = 0;

  constructor({ peer, meter }: LedgerSessionOptions) {
    this.peer = peer;
    this.meter = meter;
    this.unreported = new Set(meter.listChargedWorkspaces());
    this.unadjusted = new Set(meter.fairShare.listAdjustments().map(({ workspace }) => workspace));
  }

  /** Whether the shard lacks something. */
  get hasUnreported(): boolean {
    return this.unreported.size > 0 || this.unadjusted.size > 0;
  }

  recordCharge(workspace: string): void {
    this.unreported.add(workspace);
  }

  recordAdjustment(workspace: string): void {
    this.unadjusted.add(workspace);
  }

  /** What the other endpoints gave, as this shard told. */
  otherService(workspace: string): number {
    return this.totals.get(workspace) ?? 0;
  }

  /** Reports what the shard lacks. */
  report(mark: ReportHeader): void {
    this.peer.link.notify(NoticeMethod.Service, this.takeReport(mark));
  }

  /**
   * Reports what the shard lacks and returns the workspaces whose totals have changed. Rejects when
   * the shard does not answer.
   */
  async requestTotals(mark: ReportHeader): Promise<string[]> {
    const report = { ...this.takeReport(mark), known: this.version };
    const own = new Map(this.reported);
    const answer = await this.peer.link.call(CallMethod.Report, report);
    this.version = Math.max(this.version, answer.version);
    if (answer.adjustments !== undefined) this.meter.mergeAdjustments(answer.adjustments);
    if (answer.totals === undefined) return [];
    return this.accept(this.reader.readTotals(answer.totals), own);
  }

  private takeReport({ kind, sequence }: ReportHeader): Report {
    const entries = this.meter.getEntries(this.unreported);
    const adjustments = this.meter.getAdjustments(this.unadjusted);
    this.unreported.clear();
    this.unadjusted.clear();
    for (const entry of entries) this.reported.set(entry.workspace, chargedOf(entry));
    const report: Report = { kind, sequence };
    if (entries.length > 0) report.entries = this.writer.writeEntries(entries);
    if (adjustments.length > 0) report.adjustments = adjustments;
    return report;
  }

  /** Takes what this sidecar itself had reported out of the totals. */
  private accept({ workspaces, services }: ServiceTotals, own: ReadonlyMap<string, number>) {
    workspaces.forEach((workspace, index) =>
      this.totals.set(workspace, (services[index] ?? 0) - (own.get(workspace) ?? 0)),
    );
    return workspaces;
  }
}

function chargedOf({ service, pending }: AccountEntry): number {
  return roundToWire(service) + roundToWire(pending);
}
