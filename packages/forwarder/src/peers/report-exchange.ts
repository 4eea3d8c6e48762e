/**
 * Exchange of reports between routers, without the sockets. In each turn a router sends its own report to the
 * routers of its data centre. The relays of a data centre also send a group report with the sums over its
 * routers to a relay of each other data centre, which passes it on to the routers of its own. What a router
 * sends and receives therefore grows with the size of its data centre and with the number of data centres.
 *
 * Members are learnt from reports: the seeds hear of every router, and tell a router that knows fewer members
 * than they do. Routers of older versions don't tell their data centre; they get the reports of every router.
 */
import {
  electRelays,
  isRelayTurn,
  selectAnnouncer,
  selectRemoteRelay,
} from '@poplarpick/decisions';
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger } from '@poplarpick/kernel';
import { AnnouncementQueue, sumReports } from './group-report.ts';
import { MemberDirectory } from './member-directory.ts';
import type { MemberEntry } from './member-directory.ts';
import { isGroupReport } from './peer-table.ts';
import type { PeerReport, PeerTable } from './peer-table.ts';
import { decodeReport, encodeReport } from './report-codec.ts';
import type { ReportPart } from './report-codec.ts';

/** Period of the reports, in ms; several are sent within the usual time to a first event. */
export const REPORT_PERIOD_MS = 100;

/** One report in this many lists the members, and also goes to the seeds and to all members nearby. */
const REPORTS_PER_MEMBER_LIST = 10;

/** One group report in this many lists the members of the data centre. */
const GROUP_REPORTS_PER_MEMBER_LIST = 4;

/** One report in this many contains the usage of workspaces, whose window is many times longer. */
const REPORTS_PER_WORKSPACE_LIST = 4;

/** Shortest time between two log lines of one kind, in ms. */
const LOG_PERIOD_MS = 60_000;

/** Fields of a report that come from the router's state. */
export type ReportBody = Pick<
  PeerReport,
  | 'version'
  | 'stateAgeMs'
  | 'readAgeMs'
  | 'loads'
  | 'workspaces'
  | 'kept'
  | 'lateRates'
  | 'refused'
  | 'draining'
  | 'crashes'
  | 'survivals'
  | 'blocked'
  | 'limits'
  | 'needs'
  | 'pauses'
  | 'versionsKnownMs'
  | 'departedVersions'
>;

/** Body of a report that only tells about members. */
const EMPTY_BODY: ReportBody = { version: 0, loads: [], kept: [], lateRates: [] };

/** Options of a `ReportExchange`. */
export interface ReportExchangeOptions {
  /** `IP:port` of this router. */
  address: string;
  dataCentre: string;
  clock: Clock;
  log: Logger;
  table: PeerTable;
  /** Builds the fields of a report that come from this router's state. */
  buildReport: (includesWorkspaces: boolean) => ReportBody;
  onReport: (report: PeerReport) => void;
  /** Called for each datagram that is no valid report. */
  onRejected: () => void;
  /** Called for each report that was too large and left out a part. */
  onShortened?: (leftOut: ReportPart) => void;
  /** Sends a datagram. */
  transmit: (target: string, message: Buffer) => void;
}

/** Decides what is sent to whom in each turn, and accepts what arrives. */
export class ReportExchange {
  private readonly options: ReportExchangeOptions;
  private readonly members: MemberDirectory;
  private readonly announcements = new AnnouncementQueue();
  private readonly startedAt: number;
  private readonly loggedAt = new Map<string, number>();
  private seeds: readonly string[] = [];
  private sequence = 0;
  /** The latest usage of workspaces at this router. */
  private ownWorkspaces: ReportBody['workspaces'];
  /** The latest long pauses that this router has seen. */
  private ownPauses: ReportBody['pauses'];
  /** Addresses of the routers of this data centre whose reports arrive, as of the latest turn. */
  private localPeers: string[] = [];
  /** Relays of this data centre, as of the latest turn. */
  private relays: string[] = [];

  constructor(options: ReportExchangeOptions) {
    this.options = options;
    this.members = new MemberDirectory(options.address);
    this.startedAt = options.clock.now();
  }

  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds.filter((seed) => seed !== this.options.address);
  }

  /** Addresses of the live peers that this router hears of, those of its data centre first; else the seeds. */
  peerAddresses(): string[] {
    const { clock, table, dataCentre } = this.options;
    const live = table.live(clock.monotonic());
    const local = live.filter((report) => report.dataCentre === dataCentre);
    const others = live.filter((report) => report.dataCentre !== dataCentre);
    const addresses = new Set([...local, ...others].map(({ from }) => from));
    return addresses.size > 0 ? [...addresses] : [...this.seeds];
  }

  /** Addresses of all other live routers. */
  routerAddresses(): string[] {
    const { clock, table } = this.options;
    const readAt = table.lastRead(clock.monotonic());
    return this.members.listLive(readAt).map(([address]) => address);
  }

  /** Addresses of the known routers of a data centre, this one and silent ones included; all if it is undefined. */
  knownRouters(dataCentre?: string): string[] {
    const { address, dataCentre: ownDataCentre } = this.options;
    const known = this.members.addressesOf(dataCentre);
    const isIncluded = dataCentre === undefined || dataCentre === ownDataCentre;
    return isIncluded ? [address, ...known] : known;
  }

  /** Latest reports of the live routers of this data centre. */
  readLocalReports(): PeerReport[] {
    return this.localReports(this.options.clock.monotonic());
  }

  /** Sends the reports of one turn. */
  send(): void {
    const now = this.options.clock.monotonic();
    this.sequence += 1;
    const includesWorkspaces = this.sequence % REPORTS_PER_WORKSPACE_LIST === 1;
    const includesMembers = this.sequence % REPORTS_PER_MEMBER_LIST === 1;
    this.electRelays(now);
    if (includesMembers) this.members.forgetOld(now);
    const body = this.options.buildReport(includesWorkspaces);
    this.ownWorkspaces = body.workspaces ?? this.ownWorkspaces;
    this.ownPauses = body.pauses ?? this.ownPauses;
    this.sendOwnReport(body, includesMembers, now);
    this.sendGroupReport(body, now);
  }

  /** Accepts a datagram from another router; `sender` is the address from which it came. */
  receive(message: Buffer, sender: string): void {
    const report = this.decode(message);
    if (report === undefined || report.from === this.options.address) return;
    if (isGroupReport(report)) this.receiveGroupReport(report, message, sender);
    else this.receiveRouterReport(report);
  }

  /** Logs a failure, at most once a minute for each kind. */
  logFailure(event: string, error: unknown): void {
    const now = this.options.clock.monotonic();
    if (now - (this.loggedAt.get(event) ?? Number.NEGATIVE_INFINITY) < LOG_PERIOD_MS) return;
    this.loggedAt.set(event, now);
    this.options.log.warn({ event, error: describeError(error).split('\n')[0] });
  }

  private sendOwnReport(body: ReportBody, includesMembers: boolean, now: number): void {
    const targets = new Set([...this.localPeers, ...this.peersOfOlderVersions(now)]);
    if (includesMembers) {
      for (const target of this.members.addressesOf(this.options.dataCentre)) targets.add(target);
      for (const target of this.members.unplacedAddresses()) targets.add(target);
      this.announceTo(
        this.seeds.filter((seed) => !targets.has(seed)),
        now,
      );
    }
    if (targets.size === 0) return;
    this.transmit(this.buildOwnReport(body, includesMembers, now), targets);
  }

  /** Tells seeds that this router runs and how many members it knows. */
  private announceTo(seeds: readonly string[], now: number): void {
    if (seeds.length === 0) return;
    this.transmit(this.buildMemberReport(false, now), new Set(seeds));
  }

  /** A report that only tells about members. */
  private buildMemberReport(includesMembers: boolean, now: number): PeerReport {
    const knownMembers = this.members.listLive(now).length;
    return { ...this.buildOwnReport(EMPTY_BODY, includesMembers, now), knownMembers };
  }

  private buildOwnReport(body: ReportBody, includesMembers: boolean, now: number): PeerReport {
    const { address, dataCentre } = this.options;
    return {
      from: address,
      startedAt: this.startedAt,
      sequence: this.sequence,
      dataCentre,
      ...(includesMembers ? this.listMembers(now) : {}),
      ...body,
    };
  }

  private listMembers(now: number): Pick<PeerReport, 'peers' | 'members'> {
    const members = this.members.listLive(now);
    if (this.members.unplacedAddresses().length === 0) return { members };
    return { members, peers: members.map(([address]) => address) };
  }

  /** Sends the group report to the other data centres if it is this router's turn. */
  private sendGroupReport(body: ReportBody, now: number): void {
    const { address } = this.options;
    if (!this.relays.includes(address)) return;
    this.announcements.add(body);
    if (!isRelayTurn(this.relays, address, this.sequence)) return;
    const targets = this.remoteRelays(now);
    if (targets.size === 0) return;
    this.transmit(this.buildGroupReport(body, now), targets);
  }

  private buildGroupReport(body: ReportBody, now: number): PeerReport {
    const { address, dataCentre } = this.options;
    const own = { ...body, workspaces: this.ownWorkspaces, pauses: this.ownPauses };
    const turn = Math.floor(this.sequence / this.relays.length);
    const includesMembers = turn % GROUP_REPORTS_PER_MEMBER_LIST === 0;
    const includesWorkspaces = turn % REPORTS_PER_WORKSPACE_LIST === 0;
    return {
      from: address,
      startedAt: this.startedAt,
      sequence: this.sequence,
      version: body.version,
      stateAgeMs: body.stateAgeMs,
      readAgeMs: body.readAgeMs,
      dataCentre,
      versionsKnownMs: body.versionsKnownMs,
      departedVersions: body.departedVersions,
      ...(includesMembers ? { members: this.listLocalMembers() } : {}),
      ...sumReports([own, ...this.localReports(now)], includesWorkspaces),
      ...this.announcements.take(),
    };
  }

  private listLocalMembers(): MemberEntry[] {
    const { address, dataCentre } = this.options;
    return [address, ...this.localPeers].map((member) => [member, dataCentre]);
  }

  /** One relay of each other data centre. Where none is live, one that was known before. */
  private remoteRelays(now: number): Set<string> {
    const live = this.members.liveByDataCentre(now);
    const targets = new Set<string>();
    for (const name of this.members.dataCentres()) {
      if (name === this.options.dataCentre) continue;
      const relays = electRelays(name, live.get(name) ?? this.members.addressesOf(name));
      const relay = selectRemoteRelay(relays, this.sequence);
      if (relay !== undefined) targets.add(relay);
    }
    return targets;
  }

  private receiveRouterReport(report: PeerReport): void {
    const { clock, table, dataCentre, onReport } = this.options;
    const now = clock.monotonic();
    this.members.recordLive(report.from, report.dataCentre, now);
    this.recordMembers(report, now);
    if (report.knownMembers !== undefined) {
      this.introduce(report.from, report.knownMembers, now);
      return;
    }
    const isLocal = report.dataCentre === dataCentre || report.dataCentre === undefined;
    if (!isLocal || !table.accept(report, now)) return;
    if (this.isAnnouncerOf(report.from)) this.announcements.add(report);
    onReport(report);
  }

  private receiveGroupReport(
    report: PeerReport & { dataCentre: string },
    message: Buffer,
    sender: string,
  ): void {
    const { clock, table, dataCentre, onReport } = this.options;
    if (report.dataCentre === dataCentre) return;
    const now = clock.monotonic();
    const isOriginal = sender === report.from;
    if (isOriginal) {
      for (const target of this.localPeers) this.options.transmit(target, message);
    }
    const addresses = (report.members ?? []).map(([address]) => address);
    if (addresses.length > 0) this.members.replace(report.dataCentre, addresses, now);
    if (table.accept(report, now)) onReport(report);
  }

  /** Records the members that a report lists. */
  private recordMembers(report: PeerReport, now: number): void {
    if (report.members === undefined) {
      for (const address of report.peers ?? []) this.members.recordHearsay(address, undefined, now);
      return;
    }
    for (const [address, dataCentre] of report.members)
      this.members.recordHearsay(address, dataCentre, now);
  }

  /** Sends the members to a router that knows fewer of them. */
  private introduce(target: string, knownMembers: number, now: number): void {
    if (knownMembers >= this.members.listLive(now).length) return;
    this.transmit(this.buildMemberReport(true, now), new Set([target]));
  }

  /** Whether this router passes on the announcements of a router of its data centre. */
  private isAnnouncerOf(router: string): boolean {
    return selectAnnouncer(this.relays, router) === this.options.address;
  }

  private electRelays(now: number): void {
    const { address, dataCentre } = this.options;
    this.localPeers = this.localReports(now).map(({ from }) => from);
    this.relays = electRelays(dataCentre, [address, ...this.localPeers]);
  }

  /** Latest reports of the other routers of this data centre. */
  private localReports(now: number): PeerReport[] {
    const { table, dataCentre } = this.options;
    return table.live(now).filter((report) => report.dataCentre === dataCentre);
  }

  private peersOfOlderVersions(now: number): string[] {
    const unplaced = this.options.table
      .live(now)
      .filter((report) => report.dataCentre === undefined);
    return unplaced.map(({ from }) => from);
  }

  private transmit(report: PeerReport, targets: ReadonlySet<string>): void {
    const message = encodeReport(report, (leftOut) => this.recordShortened(leftOut));
    if (message === undefined) {
      this.logFailure('peers.report_too_large', new Error(`${report.loads.length} loads`));
      return;
    }
    for (const target of targets) this.options.transmit(target, message);
  }

  private recordShortened(leftOut: ReportPart): void {
    this.options.onShortened?.(leftOut);
    this.logFailure('peers.report_shortened', new Error(`left out: ${leftOut}`));
  }

  private decode(message: Buffer): PeerReport | undefined {
    try {
      return decodeReport(message);
    } catch (error) {
      this.options.onRejected();
      this.logFailure('peers.unreadable_report', error);
      return undefined;
    }
  }
}
