/**
 * Reports the service of one endpoint to the ledger shards and takes the fleet's totals from them. A
 * change that a choice elsewhere depends on (a start or an end) is reported at once, others a
 * little later. Before a choice of its own the sidecar asks for the totals, and waits for the answer
 * only for a moment, so that a shard that is slow or lost leaves no slot idle.
 *
 * Two routers are shards for each kind of endpoint: the first in rendezvous order answers choices, the
 * second follows at a slower pace. Sidecars that see different routers may disagree on the first; the
 * greater of the two totals then holds, since each can only lack reports.
 */
import { rankLedgerShards } from '@poplarpick/decisions';
import type { EndpointKind } from '@poplarpick/decisions';
import { describeError, Role, RepairKind, reportRepair } from '@poplarpick/kernel';
import type { Clock, Logger, Timer, Metrics } from '@poplarpick/kernel';
import type { LinkHub, Peer } from '../link/link-hub.ts';
import { LedgerSession } from './ledger-session.ts';
import type { ReportHeader } from './ledger-session.ts';
import type { ServiceMeter } from './service-meter.ts';

/** Time over which starts and ends are gathered, on which others' choices depend. */
const START_OR_END_DELAY_MS = 2;

/** Time over which other changes are gathered: costs beyond what was expected. */
const CHARGE_DELAY_MS = 400;

/** Time between two reports to the second shard, and of a sidecar without choices to make. */
const REPORT_INTERVAL_MS = 1_000;

/** Age up to which totals are good enough for a choice. */
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
  /** Called when a choice that waited for totals need wait no longer. */
  onTotalsReady: () => void;
}

/** Keeps the account of one endpoint in step with the fleet's. */
export class LedgerReporter {
  private readonly options: LedgerReporterOptions;
  private firstShard: string | undefined;
  private readonly intervalTimer: Timer;
  private readonly sessions = new Map<Peer, LedgerSession>();
  private shardSessions: LedgerSession[] = [];
  private sequence = 0;
  private startOrEndTimer: Timer | undefined;
  private chargeTimer: Timer | undefined;
  private waitTimer: Timer | undefined;
  private isRequesting = false;
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

  /** Whether a choice may be made now; where not, the totals are asked for. */
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
    for (const shard of others) void this.exchangeReport(shard);
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
    return Math.max(0, ...this.shardSessions.map((shard) => shard.otherService(workspace)));
  }

  /** Sessions with the shards that are linked now, the first in rendezvous order first. */
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

  /** The first shard keeps the account; another one takes over where it is gone. */
  private reportShardMove(first: string | undefined): void {
    const previous = this.firstShard;
    if (first === undefined || first === previous) return;
    this.firstShard = first;
    if (previous === undefined) return;
    const cause =
      this.options.hub.findPeer(previous) === undefined ? 'link lost' : 'routers changed';
    reportRepair(this.options, { kind: RepairKind.ShardMoved, cause, subject: first });
  }

  /** The session of a link; it lasts as long as the link, since both sides number names along it. */
  private getSession(peer: Peer | undefined): LedgerSession | undefined {
    if (peer === undefined) return undefined;
    const existing = this.sessions.get(peer);
    if (existing !== undefined) return existing;
    const created = new LedgerSession({ peer, meter: this.options.meter });
    this.sessions.set(peer, created);
    return created;
  }
}
