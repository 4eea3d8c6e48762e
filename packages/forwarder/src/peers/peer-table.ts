/**
 * Latest reports of other routers: their load at each endpoint, the demand and grants of workspaces, and newly
 * cached prompt segments. A report contains the sender's full state rather than deltas, so lost, duplicated
 * and reordered reports do no harm. The report of a silent sender expires.
 *
 * Routers of the own data centre report for themselves. Of each other data centre there is one group report
 * with the sums over its routers, whichever of its relays has sent it.
 */
import { PeerUsage } from '@poplarpick/decisions';
import type {
  DepartedVersionEntry,
  PeerGroup,
  PeerLateRate,
  RequestFingerprint,
  WorkspaceUsage,
} from '@poplarpick/decisions';
import type { ReportAges } from '../router-gauges.ts';
import type { MemberEntry } from './member-directory.ts';

/** Time without reports after which a sender is considered gone, in ms; several in a row are missing by then. */
export const PEER_TTL_MS = 1_500;

/** Load at an endpoint: the hash of its incarnation, then the fields of `LoadTotals`. */
export type EndpointLoadEntry = [
  endpoint: number,
  pending: number,
  prefillTokens: number,
  running: number,
  kvCacheTokens: number,
];

/** A prompt segment cached by an endpoint: hashes of the incarnation and the segment, and its tokens. */
export type CachedSegmentEntry = [endpoint: number, segment: number, tokens: number];

/** A crash of an endpoint under a suspect (see `SuspectHash`): their hashes, and the time since, in ms. */
export type SuspectCrashEntry = [endpoint: number, suspect: number, ageMs: number];

/** A request with a suspect that an endpoint answered without a crash, and the time since, in ms. */
export type SuspectSurvivalEntry = [suspect: number, ageMs: number];

/** A blocked suspect, the time since it was blocked, and the time until its release, in ms. */
export type BlockedSuspectEntry = [suspect: number, ageMs: number, remainingMs: number];

/** A limit that an endpoint named: the hash of its incarnation, 1,000 x requests a second, the time since in ms. */
export type EndpointLimitEntry = [endpoint: number, milliPerSecond: number, ageMs: number];

/**
 * What routers would send to an endpoint that has named a limit: the hash of its incarnation, 1,000 x requests a
 * second, and the number of routers that have told it.
 */
export type EndpointNeedEntry = [endpoint: number, milliPerSecond: number, routers: number];

/** The longest pause of streams lately at an endpoint: the hash of its incarnation, and the pause in ms. */
export type EndpointPauseEntry = [endpoint: number, pauseMs: number];

/** Rate of late requests in a pool, which is named by its hash. */
export type LateRateEntry = [pool: number, rate: number];

/** Report of one router, or of all routers of a data centre; sent in MessagePack under these field names. */
export interface PeerReport {
  /** `IP:port` at which the sender listens. */
  from: string;
  /** Start of the sender's process, in ms since the Unix epoch. */
  startedAt: number;
  /** Increases with each report of one process. */
  sequence: number;
  /** Version of the sender's routing table. */
  version: number;
  /** Age of the sender's routes or endpoints, whichever is older, in ms; missing if it has none. */
  stateAgeMs?: number | undefined;
  /** Time since the sender last read the store successfully, in ms; missing if it never has. */
  readAgeMs?: number | undefined;
  /** Data centre of the sender; missing in reports of older versions. */
  dataCentre?: string | undefined;
  /** Number of routers whose sums a group report contains; missing in the report of one router. */
  routers?: number | undefined;
  /** Addresses of the sender's live peers, for older versions; only in some of the reports. */
  peers?: string[] | undefined;
  /** Live routers that the sender knows, in a group report those of its data centre; only in some reports. */
  members?: MemberEntry[] | undefined;
  /**
   * Number of live members that the sender knows. Present where the report has no other purpose than to tell
   * that the sender runs.
   */
  knownMembers?: number | undefined;
  loads: EndpointLoadEntry[];
  /** Only in some of the reports, since it changes slowly; the last one received remains valid. */
  workspaces?: WorkspaceUsage[] | undefined;
  /** Newly cached prompt segments. */
  kept: CachedSegmentEntry[];
  /** Late rates, in a group report the means over its routers. */
  lateRates: LateRateEntry[];
  /** Fingerprints of newly refused requests; missing in reports of older versions. */
  refused?: RequestFingerprint[] | undefined;
  /**
   * Hashes of the incarnations that told the sender that they drain; missing in reports of older versions.
   * Each report lists all of them, so that lost reports do no harm.
   */
  draining?: number[] | undefined;
  /** Crashes under suspects; missing in reports of older versions. */
  crashes?: SuspectCrashEntry[] | undefined;
  /** Survivals of suspects; missing in reports of older versions. */
  survivals?: SuspectSurvivalEntry[] | undefined;
  /** All suspects that the sender blocks; missing in reports of older versions. */
  blocked?: BlockedSuspectEntry[] | undefined;
  /** Limits in force that the sender has received from endpoints; missing in reports of older versions. */
  limits?: EndpointLimitEntry[] | undefined;
  /** Needs at all endpoints with a limit that the sender knows; missing in reports of older versions. */
  needs?: EndpointNeedEntry[] | undefined;
  /** Long pauses that the sender has seen, in a group report the means over its routers; only in some reports. */
  pauses?: EndpointPauseEntry[] | undefined;
  /** How far back the sender knows which versions were listed, see `VersionHistoryReport`. */
  versionsKnownMs?: number | undefined;
  /** Versions that were listed in that time and are no longer. */
  departedVersions?: DepartedVersionEntry[] | undefined;
}

/** Identifies what a report is about: one router, or the routers of a data centre. */
export function reportSubject(report: PeerReport): string {
  return isGroupReport(report) ? `group ${report.dataCentre}` : report.from;
}

/** Whether a report contains the sums over the routers of a data centre. */
export function isGroupReport(
  report: PeerReport,
): report is PeerReport & { dataCentre: string; routers: number } {
  return report.routers !== undefined && report.dataCentre !== undefined;
}

interface PeerEntry {
  report: PeerReport;
  receivedAt: number;
  /** Time at which the usage of workspaces was last received. */
  usageReceivedAt: number;
}

/** Stores the latest report of each subject. */
export class PeerTable {
  private readonly entries = new Map<string, PeerEntry>();
  private readonly usage = new PeerUsage();
  private hasSenderEnded = false;
  /** Monotonic time before which all has been read that had come, in ms; undefined where reports don't wait in a socket. */
  private readAt: number | undefined;

  /** Records that what had come by monotonic time `at`, in ms, has been read. Before that, no report expires. */
  recordRead(at: number): void {
    this.readAt = at;
  }

  /** The latest time for which it is known which reports had come. While they wait in the socket, nobody is silent. */
  lastRead(now: number): number {
    return Math.min(now, this.readAt ?? now);
  }

  /** Stores a report; false if it isn't newer than the one stored for the same subject. */
  accept(report: PeerReport, now: number): boolean {
    const subject = reportSubject(report);
    const previous = this.entries.get(subject);
    const latest = previous?.report;
    if (latest !== undefined && !isNewer(report, latest)) return false;
    if (latest?.from === report.from && latest.startedAt !== report.startedAt)
      this.hasSenderEnded = true;
    const workspaces = report.workspaces ?? latest?.workspaces;
    const pauses = report.pauses ?? latest?.pauses;
    const usageReceivedAt =
      report.workspaces === undefined ? (previous?.usageReceivedAt ?? now) : now;
    this.entries.set(subject, {
      report: { ...report, workspaces, pauses },
      receivedAt: now,
      usageReceivedAt,
    });
    if (report.workspaces !== undefined) this.usage.replace(subject, report.workspaces);
    return true;
  }

  /** Reports that are still valid; removes expired ones. */
  live(now: number): PeerReport[] {
    this.dropExpired(now);
    return Array.from(this.entries.values(), ({ report }) => report);
  }

  /** Whether a sender has ever fallen silent, or has been replaced by a new process. */
  hasLostSender(now: number): boolean {
    this.dropExpired(now);
    return this.hasSenderEnded;
  }

  /** Ages in ms of the live reports, apart for the routers of `dataCentre` and for other data centres. */
  reportAges(dataCentre: string, now: number): ReportAges {
    const ages: ReportAges = { local: [], remote: [] };
    this.dropExpired(now);
    for (const { report, receivedAt } of this.entries.values()) {
      const group = report.dataCentre === dataCentre ? ages.local : ages.remote;
      group.push(now - receivedAt);
    }
    return ages;
  }

  /** Usage of workspaces, added up over the live reports. */
  workspaceUsage(now: number): Iterable<WorkspaceUsage> {
    this.dropExpired(now);
    return this.usage.totals();
  }

  /** Time since the oldest usage of workspaces that counts was received, in ms; 0 without any. */
  usageAgeMs(now: number): number {
    this.dropExpired(now);
    let oldestAt = now;
    for (const { usageReceivedAt } of this.entries.values())
      oldestAt = Math.min(oldestAt, usageReceivedAt);
    return now - oldestAt;
  }

  /** Addresses of the live senders whose routes are newer than `version`. */
  findAhead(version: number, now: number): string[] {
    return this.live(now)
      .filter((report) => report.version > version)
      .map(({ from }) => from);
  }

  /** The subjects of the live reports. */
  groups(now: number): PeerGroup[] {
    return this.live(now).map((report) => ({
      subject: reportSubject(report),
      routers: report.routers ?? 1,
    }));
  }

  /** Number of live routers, including this one. */
  countRouters(now: number): number {
    return this.live(now).reduce((count, { routers = 1 }) => count + routers, 1);
  }

  /** Mean rate of late requests in a pool over the live peers, and their number. */
  meanLateRate(poolHash: number, now: number): PeerLateRate {
    let sum = 0;
    let counted = 0;
    for (const { lateRates, routers = 1 } of this.live(now)) {
      const entry = lateRates.find(([hash]) => hash === poolHash);
      if (entry === undefined) continue;
      sum += entry[1] * routers;
      counted += routers;
    }
    return { rate: counted === 0 ? 0 : sum / counted, routers: counted };
  }

  private dropExpired(now: number): void {
    const readAt = this.lastRead(now);
    for (const [subject, { receivedAt }] of this.entries) {
      if (readAt - receivedAt <= PEER_TTL_MS) continue;
      this.entries.delete(subject);
      this.hasSenderEnded = true;
      this.usage.remove(subject);
    }
  }
}

/** Whether a report replaces another one of its subject. Relays of a data centre number theirs independently. */
function isNewer(report: PeerReport, other: PeerReport): boolean {
  if (report.from !== other.from) return true;
  if (report.startedAt !== other.startedAt) return report.startedAt > other.startedAt;
  return report.sequence > other.sequence;
}
