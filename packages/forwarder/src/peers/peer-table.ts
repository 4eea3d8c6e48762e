/**
 * What the other routers say: their load at each endpoint, what workspaces asked of them and got, and
 * which prompt parts went where. Messages hold the sender's present state and no changes to it, so that
 * lost, doubled and reordered ones do no harm; what a peer said is forgotten when it falls silent.
 */
import type { WorkspaceUsage } from '@poplarpick/decisions';

/** Time after which a silent peer no longer counts, in ms: several of its messages are missing. */
export const PEER_TTL_MS = 1_500;

/** What one router has at an endpoint, which its hash names; in the order of `LoadTotals`. */
export type EndpointLoadEntry = [
  endpoint: number,
  reading: number,
  readTokens: number,
  running: number,
  heldTokens: number,
];

/** A prompt part at an endpoint; endpoints and parts are named by their hashes. */
export type CachedSegmentEntry = [endpoint: number, part: number, tokens: number];

/** One router's state as its peers need it. */
export interface PeerReport {
  /** `IP:port` at which the sender listens. */
  from: string;
  /** Start of the sender's process, in ms since the Unix epoch. */
  startedAt: number;
  /** Grows with each report of one process. */
  sequence: number;
  /** Version of the sender's routing table. */
  version: number;
  /** Addresses of the routers that the sender hears; told now and then. */
  peers?: string[] | undefined;
  loads: EndpointLoadEntry[];
  /** Told now and then, since they change slowly; what was told last holds until then. */
  workspaces?: WorkspaceUsage[] | undefined;
  kept: CachedSegmentEntry[];
  /** Share of late requests by pool, which its hash names. */
  lateRates: [pool: number, rate: number][];
}

interface PeerEntry {
  report: PeerReport;
  receivedAt: number;
}

/** Latest reports of the peers. */
export class PeerTable {
  private readonly entries = new Map<string, PeerEntry>();

  /** Takes a report; false where a newer one of the same router is known. */
  accept(report: PeerReport, now: number): boolean {
    const latest = this.entries.get(report.from)?.report;
    if (latest !== undefined && !isNewer(report, latest)) return false;
    const workspaces = report.workspaces ?? latest?.workspaces;
    this.entries.set(report.from, { report: { ...report, workspaces }, receivedAt: now });
    return true;
  }

  /** Reports of the routers that are heard. */
  live(now: number): PeerReport[] {
    const live: PeerReport[] = [];
    for (const [from, { report, receivedAt }] of this.entries) {
      if (now - receivedAt <= PEER_TTL_MS) live.push(report);
      else this.entries.delete(from);
    }
    return live;
  }

  /** Routers that are heard, with this one. */
  countRouters(now: number): number {
    return this.live(now).length + 1;
  }
}

function isNewer(report: PeerReport, other: PeerReport): boolean {
  if (report.startedAt !== other.startedAt) return report.startedAt > other.startedAt;
  return report.sequence > other.sequence;
}
