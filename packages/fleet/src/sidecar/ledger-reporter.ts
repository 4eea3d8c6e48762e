/**
 * Reports the service of one endpoint to the ledger shards and receives the fleet's totals from them.
 * Starts and ends of requests are reported almost immediately, because the choices of other sidecars
 * depend on them; other changes are reported a little later. Before choosing a workspace, the sidecar
 * requests the totals. It waits for them only briefly, so that a slow or lost shard leaves no slot idle.
 *
 * Each kind of endpoint has two routers as its shards. The first in rendezvous order provides the totals
 * for choices; the second receives reports at a longer interval, as a standby. Sidecars that are linked
 * to different routers may disagree on which is first. They use the greater of the two totals, since a
 * total can only be too low, from missing reports.
 */
import { rankLedgerShards } from '@poplarpick/decisions';
import type { EndpointKind } from '@poplarpick/decisions';
import { describeError, Role, RepairKind, reportRepair } from '@poplarpick/kernel';
import type { Clock, Logger, Timer, Metrics } from '@poplarpick/kernel';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import { LedgerSession } from './ledger-session.ts';
import type { ReportHeader } from './ledger-session.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Time for which starts and ends are batched into one report. */
const START_OR_END_DELAY_MS = 2;

/** Time for which other changes, such as costs above the expected cost, are batched into one report. */
const CHARGE_DELAY_MS = 400;

/** Interval of reports to the second shard, and to the first one while no totals are needed. */
const REPORT_INTERVAL_MS = 1_000;

/** Age up to which totals count as fresh. */
const MAX_FRESH_AGE_MS = 4;

/** Longest wait for the totals before a choice. */
const MAX_TOTALS_WAIT_MS = 10;

/** Options of a `LedgerReporter`. */
export interface LedgerReporterOptions {
  hub: LinkHub;
  meter: ServiceMeter;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** The kind of the endpoint, once the configuration is known. */
  readEndpointKind: () => EndpointKind | undefined;
  /** Called when totals have arrived, or the wait for them has timed out. */
  onTotalsReady: () => void;
}

/** Synchronises the service account of one endpoint with the ledger shards. */
export class LedgerReporter {
  private readonly options: LedgerReporterOptions;
  /** Host of the first shard. */
  private firstShard: string | undefined;
  private readonly intervalTimer: Timer;
  private readonly sessions = new Map<Peer, LedgerSession>();
  private shardSessions: LedgerSession[] = [];
  private sequence = 0;
  private startOrEndTimer: Timer | undefined;
  private chargeTimer: Timer | undefined;
  private waitTimer: Timer | undefined;
  /** Whether a request for totals to the first shard is in progress. */
  private isRequesting = false;
  /** Whether that request has exceeded the longest wait, so that choices do not wait for it. */
  private hasTimedOut = false;
  private answeredAt = -Infinity;

  constructor(options: LedgerReporterOptions) {
    this.options = options;
    options.meter.listener = {
      onEntryChange: (workspace) => this.recordCharge(workspace),
      onStartOrEnd: () => this.scheduleReport(),
      onAdjust: (workspace) =>
        this.sessions.forEach((session) => session.recordAdjustment(workspace)),
    };
    this.intervalTimer = options.clock.every(REPORT_INTERVAL_MS, () => this.tick());
  }

  /** Whether a choice may be made without waiting for fresher totals. If not, requests them. */
  ensureFreshTotals(): boolean {
    const [first] = this.updateShardSessions();
    if (first === undefined || this.hasTimedOut) return true;
    if (this.options.clock.monotonic() - this.answeredAt <= MAX_FRESH_AGE_MS) return true;
    if (this.isRequesting) return false;
    this.requestTotals(first);
    return false;
  }

  stop(): void {
    this.intervalTimer.stop();
    this.startOrEndTimer?.stop();
    this.chargeTimer?.stop();
    this.waitTimer?.stop();
  }

  private requestTotals(session: LedgerSession): void {
    this.isRequesting = true;
    this.waitTimer = this.options.clock.after(MAX_TOTALS_WAIT_MS, () => {
      this.hasTimedOut = true;
      this.options.onTotalsReady();
    });
    void this.exchangeReport(session).then((succeeded) => {
      this.waitTimer?.stop();
      this.isRequesting = false;
      this.hasTimedOut = false;
      this.answeredAt = succeeded ? this.options.clock.monotonic() : this.answeredAt;
      this.options.onTotalsReady();
    });
  }

  private recordCharge(workspace: string): void {
    this.sessions.forEach((session) => session.recordCharge(workspace));
    this.chargeTimer ??= this.options.clock.after(CHARGE_DELAY_MS, () => {
      this.chargeTimer = undefined;
      this.reportPending();
    });
  }

  private scheduleReport(): void {
    this.startOrEndTimer ??= this.options.clock.after(START_OR_END_DELAY_MS, () => {
      this.startOrEndTimer = undefined;
      this.reportPending();
    });
  }

  private reportPending(): void {
    const [first] = this.updateShardSessions();
    if (first?.hasUnreported !== true) return;
    const header = this.createReportHeader();
    if (header !== undefined) first.report(header);
  }

  private tick(): void {
    const [first, ...others] = this.updateShardSessions();
    for (const session of others) void this.exchangeReport(session);
    const isIdle = this.options.clock.monotonic() - this.answeredAt > REPORT_INTERVAL_MS;
    if (first !== undefined && isIdle && !this.isRequesting) this.requestTotals(first);
  }

  private async exchangeReport(session: LedgerSession): Promise<boolean> {
    const header = this.createReportHeader();
    if (header === undefined) return false;
    try {
      const workspaces = await session.requestTotals(header);
      const services = workspaces.map((workspace) => this.computeOtherService(workspace));
      this.options.meter.setOtherService({ workspaces, services });
      return true;
    } catch (error) {
      this.options.log.debug({ event: 'ledger.report_failed', error: describeError(error) });
      return false;
    }
  }

  private createReportHeader(): ReportHeader | undefined {
    const kind = this.options.readEndpointKind();
    if (kind === undefined) return undefined;
    this.sequence += 1;
    return { kind, sequence: this.sequence };
  }

  private computeOtherService(workspace: string): number {
    return Math.max(0, ...this.shardSessions.map((session) => session.otherService(workspace)));
  }

  /** Updates the sessions with the linked shards and returns them in rendezvous order. */
  private updateShardSessions(): LedgerSession[] {
    const { hub } = this.options;
    const kind = this.options.readEndpointKind();
    if (kind === undefined) return [];
    const hosts = hub.peers(Role.Router).map(({ host }) => host);
    const ranked = rankLedgerShards(kind, hosts);
    for (const [peer] of this.sessions)
      if (hub.findPeer(peer.host) !== peer) this.sessions.delete(peer);
    this.reportShardMove(ranked[0]);
    this.shardSessions = ranked.flatMap((host) => this.getSession(hub.findPeer(host)) ?? []);
    return this.shardSessions;
  }

  /** Reports as a repair that another router has become the first shard. */
  private reportShardMove(first: string | undefined): void {
    const previous = this.firstShard;
    if (first === undefined || first === previous) return;
    this.firstShard = first;
    if (previous === undefined) return;
    const cause =
      this.options.hub.findPeer(previous) === undefined ? 'link lost' : 'routers changed';
    reportRepair(this.options, { kind: RepairKind.ShardMoved, cause, subject: first });
  }

  /** The session of a link. It ends with the link, since the name encoding is specific to the link. */
  private getSession(peer: Peer | undefined): LedgerSession | undefined {
    if (peer === undefined) return undefined;
    const existing = this.sessions.get(peer);
    if (existing !== undefined) return existing;
    const created = new LedgerSession({ peer, meter: this.options.meter });
    this.sessions.set(peer, created);
    return created;
  }
}
