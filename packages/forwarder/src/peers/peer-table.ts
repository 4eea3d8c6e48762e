/**
 * Latest reports of the other routers: their load at each endpoint, the demand and grants of workspaces,
 * and newly cached prompt segments. A report contains the sender's full state rather than deltas, so
 * lost, duplicated and reordered reports do no harm. The report of a silent peer expires.
 */
import type { RequestFingerprint, WorkspaceUsage } from '@poplarpick/decisions';

/** Time without reports after which a peer is considered gone, in ms; several in a row are missing by then. */
export const PEER_TTL_MS = 1_500;

/** One router's load at an endpoint: the hash of its incarnation, then the fields of `LoadTotals`. */
export type EndpointLoadEntry = [
  endpoint: number,
  pending: number,
  prefillTokens: number,
  running: number,
  kvCacheTokens: number,
];

/** A prompt segment cached by an endpoint: hashes of the incarnation and the segment, and its tokens. */
export type CachedSegmentEntry = [endpoint: number, segment: number, tokens: number];

/** Report of one router to its peers; sent in MessagePack under these field names. */
export interface PeerReport {
  /** `IP:port` at which the sender listens. */
  from: string;
  /** Start of the sender's process, in ms since the Unix epoch. */
  startedAt: number;
  /** Increases with each report of one process. */
  sequence: number;
  /** Version of the sender's routing table. */
  version: number;
  /** Addresses of the sender's live peers; only in some of the reports. */
  peers?: string[] | undefined;
  loads: EndpointLoadEntry[];
  /** Only in some of the reports, since it changes slowly; the last one received remains valid. */
  workspaces?: WorkspaceUsage[] | undefined;
  /** Newly cached prompt segments. */
  kept: CachedSegmentEntry[];
  /** Rate of late requests by the hash of the pool's name. */
  lateRates: [pool: number, rate: number][];
  /** Fingerprints of newly refused requests; missing in reports of older versions. */
  refused?: RequestFingerprint[] | undefined;
  /**
   * Hashes of the incarnations that told the sender that they drain; missing in reports of older versions.
   * Each report lists all of them, so that lost reports do no harm.
   */
  draining?: number[] | undefined;
}

interface PeerEntry {
  report: PeerReport;
  receivedAt: number;
}

/** Stores the latest report of each peer. */
export class PeerTable {
  private readonly entries = new Map<string, PeerEntry>();

  /** Stores a report; false if it isn't newer than the one stored for the same router. */
  accept(report: PeerReport, now: number): boolean {
    const latest = this.entries.get(report.from)?.report;
    if (latest !== undefined && !isNewer(report, latest)) return false;
    const workspaces = report.workspaces ?? latest?.workspaces;
    this.entries.set(report.from, { report: { ...report, workspaces }, receivedAt: now });
    return true;
  }

  /** Reports of the live peers; removes expired ones. */
  live(now: number): PeerReport[] {
    const live: PeerReport[] = [];
    for (const [from, { report, receivedAt }] of this.entries) {
      if (now - receivedAt <= PEER_TTL_MS) live.push(report);
      else this.entries.delete(from);
    }
    return live;
  }

  /** Addresses of the live peers whose routes are newer than `version`. */
  findAhead(version: number, now: number): string[] {
    return this.live(now)
      .filter((report) => report.version > version)
      .map(({ from }) => from);
  }

  /** Number of live routers, including this one. */
  countRouters(now: number): number {
    return this.live(now).length + 1;
  }
}

function isNewer(report: PeerReport, other: PeerReport): boolean {
  if (report.startedAt !== other.startedAt) return report.startedAt > other.startedAt;
  return report.sequence > other.sequence;
}
