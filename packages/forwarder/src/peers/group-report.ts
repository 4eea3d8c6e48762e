/**
 * Builds the group report of a data centre: the sums over its routers, and the announcements that this relay
 * passes on for some of them.
 */
import type { RequestFingerprint, WorkspaceUsage } from '@poplarpick/decisions';
import type {
  CachedSegmentEntry,
  EndpointLoadEntry,
  LateRateEntry,
  PeerReport,
} from './peer-table.ts';
import type { ReportBody } from './report-exchange.ts';

/** Most cached segments in one group report, so that it fits into a datagram; the others follow. */
const MAX_SEGMENTS = 400;

/** Most refused requests in one group report, so that it fits into a datagram. */
const MAX_REFUSALS = 1_000;

/** Most announcements that wait for the next group report, as a bound on memory; the oldest are dropped. */
const MAX_WAITING = 4_000;

/** Announcements of routers that wait to be passed on. */
export class AnnouncementQueue {
  private segments: CachedSegmentEntry[] = [];
  private refusals: RequestFingerprint[] = [];

  /** Adds the announcements of one report. */
  add({ kept, refused = [] }: Pick<PeerReport, 'kept' | 'refused'>): void {
    this.segments = [...this.segments, ...kept].slice(-MAX_WAITING);
    this.refusals = [...this.refusals, ...refused].slice(-MAX_WAITING);
  }

  /** Takes the announcements of the next group report. */
  take(): { kept: CachedSegmentEntry[]; refused: RequestFingerprint[] } {
    return {
      kept: this.segments.splice(0, MAX_SEGMENTS),
      refused: this.refusals.splice(0, MAX_REFUSALS),
    };
  }
}

/** The sums of a group report. */
export type GroupSums = Pick<
  PeerReport,
  'routers' | 'loads' | 'workspaces' | 'lateRates' | 'draining'
>;

/** Adds up the reports of a data centre's routers. Workspaces are left out unless `includesWorkspaces`. */
export function sumReports(reports: readonly ReportBody[], includesWorkspaces: boolean): GroupSums {
  const sums: GroupSums = {
    routers: reports.length,
    loads: sumLoads(reports),
    lateRates: meanLateRates(reports),
    draining: [...new Set(reports.flatMap(({ draining }) => draining ?? []))],
  };
  return includesWorkspaces ? { ...sums, workspaces: sumWorkspaces(reports) } : sums;
}

function sumLoads(reports: readonly ReportBody[]): EndpointLoadEntry[] {
  const sums = new Map<number, EndpointLoadEntry>();
  for (const { loads } of reports) {
    for (const entry of loads) {
      const sum = sums.get(entry[0]);
      if (sum === undefined) sums.set(entry[0], [...entry]);
      else for (let field = 1; field < entry.length; field += 1) addField(sum, entry, field);
    }
  }
  return [...sums.values()];
}

function sumWorkspaces(reports: readonly ReportBody[]): WorkspaceUsage[] {
  const sums = new Map<string, WorkspaceUsage>();
  for (const { workspaces = [] } of reports) {
    for (const entry of workspaces) {
      const sum = sums.get(entry[0]);
      if (sum === undefined) sums.set(entry[0], [...entry]);
      else for (let field = 1; field < entry.length; field += 1) addField(sum, entry, field);
    }
  }
  return [...sums.values()];
}

function addField(
  sum: (string | number)[],
  entry: readonly (string | number)[],
  field: number,
): void {
  sum[field] = Number(sum[field]) + Number(entry[field]);
}

/** Mean late rate of each pool over the routers that report one. */
function meanLateRates(reports: readonly ReportBody[]): LateRateEntry[] {
  const rates = new Map<number, number[]>();
  for (const { lateRates } of reports) {
    for (const [pool, rate] of lateRates) rates.set(pool, [...(rates.get(pool) ?? []), rate]);
  }
  return [...rates].map(([pool, values]) => [
    pool,
    values.reduce((sum, rate) => sum + rate, 0) / values.length,
  ]);
}
