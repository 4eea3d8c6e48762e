/**
 * State of the exchange between a sidecar and one ledger shard: the entries that are yet to be reported,
 * and the totals that the shard has sent. A link delivers in order or is lost, so reports need no
 * acknowledgement. A new link, or a restart of the shard, begins a new session with a full report.
 */
import type { AccountEntry, EndpointKind, ServiceTotals } from '@poplarpick/decisions';
import {
  ServiceColumnDecoder,
  ServiceColumnEncoder,
  roundToWirePrecision,
} from '../ledger/service-columns.ts';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { LedgerReport } from '../messages.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Options of a `LedgerSession`. */
export interface LedgerSessionOptions {
  peer: Peer;
  meter: ServiceMeter;
}

/** Identifies a report. */
export interface ReportHeader {
  kind: EndpointKind;
  sequence: number;
}

/** The session with one ledger shard. */
export class LedgerSession {
  readonly peer: Peer;
  private readonly meter: ServiceMeter;
  private readonly encoder = new ServiceColumnEncoder();
  private readonly decoder = new ServiceColumnDecoder();
  private readonly unreportedEntries: Set<string>;
  private readonly unreportedAdjustments: Set<string>;
  private readonly reportedService = new Map<string, number>();
  private readonly totals = new Map<string, number>();
  private version = 0;

  constructor({ peer, meter }: LedgerSessionOptions) {
    this.peer = peer;
    this.meter = meter;
    this.unreportedEntries = new Set(meter.listChargedWorkspaces());
    this.unreportedAdjustments = new Set(
      meter.fairShare.listAdjustments().map(({ workspace }) => workspace),
    );
  }

  /** Whether there are unreported entries or adjustments. */
  get hasUnreported(): boolean {
    return this.unreportedEntries.size > 0 || this.unreportedAdjustments.size > 0;
  }

  recordCharge(workspace: string): void {
    this.unreportedEntries.add(workspace);
  }

  recordAdjustment(workspace: string): void {
    this.unreportedAdjustments.add(workspace);
  }

  /** Service by the other endpoints, according to this shard. */
  otherService(workspace: string): number {
    return this.totals.get(workspace) ?? 0;
  }

  /** Sends the unreported changes without requesting the totals. */
  report(header: ReportHeader): void {
    this.peer.link.notify(NotificationMethod.Service, this.buildReport(header));
  }

  /**
   * Sends the unreported changes and requests the totals. Returns the workspaces whose totals have
   * changed. Rejects if the shard does not answer.
   */
  async requestTotals(header: ReportHeader): Promise<string[]> {
    const report = { ...this.buildReport(header), known: this.version };
    const ownService = new Map(this.reportedService);
    const answer = await this.peer.link.call(CallMethod.Report, report);
    this.version = Math.max(this.version, answer.version);
    if (answer.adjustments !== undefined) this.meter.mergeAdjustments(answer.adjustments);
    if (answer.totals === undefined) return [];
    return this.recordTotals(this.decoder.decodeTotals(answer.totals), ownService);
  }

  private buildReport({ kind, sequence }: ReportHeader): LedgerReport {
    const entries = this.meter.getEntries(this.unreportedEntries);
    const adjustments = this.meter.getAdjustments(this.unreportedAdjustments);
    this.unreportedEntries.clear();
    this.unreportedAdjustments.clear();
    for (const entry of entries) this.reportedService.set(entry.workspace, sumRounded(entry));
    const report: LedgerReport = { kind, sequence };
    if (entries.length > 0) report.entries = this.encoder.encodeEntries(entries);
    if (adjustments.length > 0) report.adjustments = adjustments;
    return report;
  }

  /** Stores the totals, less the service that this sidecar itself had reported. */
  private recordTotals(
    { workspaces, services }: ServiceTotals,
    ownService: ReadonlyMap<string, number>,
  ) {
    workspaces.forEach((workspace, index) =>
      this.totals.set(workspace, (services[index] ?? 0) - (ownService.get(workspace) ?? 0)),
    );
    return workspaces;
  }
}

/** Own service of an entry as the shard receives it, in rounded amounts. */
function sumRounded({ service, pending }: AccountEntry): number {
  return roundToWirePrecision(service) + roundToWirePrecision(pending);
}
