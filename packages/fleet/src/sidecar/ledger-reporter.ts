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
const PROMPT_DELAY_MS = 2;

/** Time over which other changes are gathered: costs beyond what was expected. */
const OVERRUN_DELAY_MS = 400;

/** Time between two reports to the second shard, and of a sidecar without choices to make. */
const PERIOD_MS = 1_000;

/** Age up to which totals are good enough for a choice. */
const FRESH_MS = 4;

/** Longest wait for the totals before a choice. */
const WAIT_MS = 10;

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
  private readonly ticker: Timer;
  private readonly sessions = new Map<Peer, LedgerSession>();
  private shards: LedgerSession[] = [];
  private sequence = 0;
  private prompt: Timer | undefined;
  private overrun: Timer | undefined;
  private patience: Timer | undefined;
  private asked = false;
  private late = false;
  private answeredAt = -Infinity;

  constructor(options: LedgerReporterOptions) {
    this.options = options;
    options.meter.listener = {
      onEntryChange: (workspace) => this.noteCharge(workspace),
      onStartOrEnd: () => this.noteTurn(),
      onAdjust: (workspace) =>
        this.sessions.forEach((session) => session.recordAdjustment(workspace)),
    };
    this.ticker = options.clock.every(PERIOD_MS, () => this.tick());
  }

  /** Whether a choice may be made now; where not, the totals are asked for. */
  ensureFreshTotals(): boolean {
    const [first] = this.currentShards();
    if (first === undefined || this.late) return true;
    if (this.options.clock.monotonic() - this.answeredAt <= FRESH_MS) return true;
    if (this.asked) return false;
    this.ask(first);
    return false;
  }

  stop(): void {
    this.ticker.stop();
    this.prompt?.stop();
    this.overrun?.stop();
    this.patience?.stop();
  }

  private ask(shard: LedgerSession): void {
    this.asked = true;
    this.patience = this.options.clock.after(WAIT_MS, () => {
      this.late = true;
      this.options.onTotalsReady();
    });
    void this.send(shard).then((succeeded) => {
      this.patience?.stop();
      this.asked = false;
      this.late = false;
      this.answeredAt = succeeded ? this.options.clock.monotonic() : this.answeredAt;
      this.options.onTotalsReady();
    });
  }

  private noteCharge(workspace: string): void {
    this.sessions.forEach((session) => session.recordCharge(workspace));
    this.overrun ??= this.options.clock.after(OVERRUN_DELAY_MS, () => {
      this.overrun = undefined;
      this.catchUp();
    });
  }

  private noteTurn(): void {
    this.prompt ??= this.options.clock.after(PROMPT_DELAY_MS, () => {
      this.prompt = undefined;
      this.catchUp();
    });
  }

  private catchUp(): void {
    const [first] = this.currentShards();
    if (first?.hasUnreported !== true) return;
    const mark = this.nextMark();
    if (mark !== undefined) first.report(mark);
  }

  private tick(): void {
    const [first, ...others] = this.currentShards();
    for (const shard of others) void this.send(shard);
    const isIdle = this.options.clock.monotonic() - this.answeredAt > PERIOD_MS;
    if (first !== undefined && isIdle && !this.asked) this.ask(first);
  }

  private async send(shard: LedgerSession): Promise<boolean> {
    const mark = this.nextMark();
    if (mark === undefined) return false;
    try {
      const workspaces = await shard.requestTotals(mark);
      const services = workspaces.map((workspace) => this.greatestOf(workspace));
      this.options.meter.setOtherService({ workspaces, services });
      return true;
    } catch (error) {
      this.options.log.debug({ event: 'ledger.report_failed', error: describeError(error) });
      return false;
    }
  }

  private nextMark(): ReportHeader | undefined {
    const kind = this.options.readEndpointKind();
    if (kind === undefined) return undefined;
    this.sequence += 1;
    return { kind, sequence: this.sequence };
  }

  private greatestOf(workspace: string): number {
    return Math.max(0, ...this.shards.map((shard) => shard.otherService(workspace)));
  }

  /** Sessions with the shards that are linked now, the first in rendezvous order first. */
  private currentShards(): LedgerSession[] {
    const { hub } = this.options;
    const kind = this.options.readEndpointKind();
    if (kind === undefined) return [];
    const hosts = hub.peers(Role.Router).map(({ host }) => host);
    const chosen = rankLedgerShards(kind, hosts);
    for (const [peer] of this.sessions)
      if (hub.findPeer(peer.host) !== peer) this.sessions.delete(peer);
    this.tellMove(chosen[0]);
    this.shards = chosen.flatMap((host) => this.session(hub.findPeer(host)) ?? []);
    return this.shards;
  }

  /** The first shard keeps the account; another one takes over where it is gone. */
  private tellMove(first: string | undefined): void {
    const before = this.firstShard;
    if (first === undefined || first === before) return;
    this.firstShard = first;
    if (before === undefined) return;
    const cause = this.options.hub.findPeer(before) === undefined ? 'link lost' : 'routers changed';
    reportRepair(this.options, { kind: RepairKind.ShardMoved, cause, subject: first });
  }

  /** The session of a link; it lasts as long as the link, since both sides number names along it. */
  private session(peer: Peer | undefined): LedgerSession | undefined {
    if (peer === undefined) return undefined;
    const known = this.sessions.get(peer);
    if (known !== undefined) return known;
    const made = new LedgerSession({ peer, meter: this.options.meter });
    this.sessions.set(peer, made);
    return made;
  }
}
