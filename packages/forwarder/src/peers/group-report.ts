/**
 * Builds the group report of a data centre: the sums over its routers, and the announcements that this relay
 * passes on for some of them.
 */
import type { RequestFingerprint } from '@poplarpick/decisions';
import type {
  BlockedSuspectEntry,
  CachedSegmentEntry,
  EndpointLimitEntry,
  EndpointPauseEntry,
  LateRateEntry,
  PeerReport,
  SuspectCrashEntry,
  SuspectSurvivalEntry,
} from './peer-table.ts';
import type { ReportBody } from './report-exchange.ts';

/** Most cached segments in one group report, so that it fits into a datagram; the others follow. */
const MAX_SEGMENTS = 400;

/** Most refused requests in one group report, so that it fits into a datagram. */
const MAX_REFUSALS = 1_000;

/** Most crashes and most survivals in one group report, so that it fits into a datagram. */
const MAX_POISON_ENTRIES = 200;

/** Most announcements that wait for the next group report, as a bound on memory; the oldest are dropped. */
const MAX_WAITING = 4_000;

/** The announcements of a report. */
type AnnouncingReport = Pick<PeerReport, 'kept' | 'refused' | 'crashes' | 'survivals'>;

/** Announcements of routers that wait to be passed on. */
export class AnnouncementQueue {
  private readonly segments: CachedSegmentEntry[] = [];
  private readonly refusals: RequestFingerprint[] = [];
  private readonly crashes: SuspectCrashEntry[] = [];
  private readonly survivals: SuspectSurvivalEntry[] = [];

  /** Adds the announcements of one report. */
  add(report: AnnouncingReport): void {
    const { kept, refused = [], crashes = [], survivals = [] } = report;
    append(this.segments, kept);
    append(this.refusals, refused);
    append(this.crashes, crashes);
    append(this.survivals, survivals);
  }

  /** Takes the announcements of the next group report. */
  take(): Required<AnnouncingReport> {
    return {
      kept: this.segments.splice(0, MAX_SEGMENTS),
      refused: this.refusals.splice(0, MAX_REFUSALS),
      crashes: this.crashes.splice(0, MAX_POISON_ENTRIES),
      survivals: this.survivals.splice(0, MAX_POISON_ENTRIES),
    };
  }
}

/** Appends to a queue in place, since one is appended to with each report, and drops the oldest entries. */
function append<Entry>(queue: Entry[], entries: readonly Entry[]): void {
  queue.push(...entries);
  queue.splice(0, queue.length - MAX_WAITING);
}

/** The sums of a group report. */
export type GroupSums = Pick<
  PeerReport,
  | 'routers'
  | 'loads'
  | 'workspaces'
  | 'pauses'
  | 'lateRates'
  | 'draining'
  | 'blocked'
  | 'limits'
  | 'needs'
>;

/** Adds up the reports of a data centre's routers. Workspaces and pauses are left out unless `includesWorkspaces`. */
export function sumReports(reports: readonly ReportBody[], includesWorkspaces: boolean): GroupSums {
  const sums: GroupSums = {
    routers: reports.length,
    loads: sumEntries(reports.flatMap(({ loads }) => loads)),
    lateRates: meanLateRates(reports),
    draining: [...new Set(reports.flatMap(({ draining }) => draining ?? []))],
    blocked: mergeBlocked(reports.flatMap(({ blocked }) => blocked ?? [])),
    limits: mergeLimits(reports.flatMap(({ limits }) => limits ?? [])),
    needs: sumEntries(reports.flatMap(({ needs }) => needs ?? [])),
  };
  if (!includesWorkspaces) return sums;
  const workspaces = sumEntries(reports.flatMap((report) => report.workspaces ?? []));
  const pauses = meanPauses(reports.flatMap((report) => report.pauses ?? []));
  return { ...sums, workspaces, pauses };
}

/** Adds up the numbers of the entries with the same first field. */
function sumEntries<Entry extends [key: string | number, ...numbers: number[]]>(
  entries: readonly Entry[],
): Entry[] {
  const sums = new Map<string | number, Entry>();
  for (const entry of entries) {
    const sum = sums.get(entry[0]);
    if (sum === undefined) sums.set(entry[0], [...entry]);
    else addNumbers(sum, entry);
  }
  return [...sums.values()];
}

function addNumbers<Entry extends [key: string | number, ...numbers: number[]]>(
  sum: Entry,
  entry: Entry,
): void {
  for (let field = 1; field < entry.length; field += 1) {
    sum[field] = Number(sum[field]) + Number(entry[field]);
  }
}

/** The blocks of all routers; of one suspect the one that lasts longest. */
function mergeBlocked(entries: readonly BlockedSuspectEntry[]): BlockedSuspectEntry[] {
  const merged = new Map<number, BlockedSuspectEntry>();
  for (const entry of entries) {
    const [suspect, , remainingMs] = entry;
    const longest = merged.get(suspect);
    if (longest === undefined || longest[2] < remainingMs) merged.set(suspect, entry);
  }
  return [...merged.values()];
}

/** The limit of each endpoint that was named last. */
function mergeLimits(entries: readonly EndpointLimitEntry[]): EndpointLimitEntry[] {
  const merged = new Map<number, EndpointLimitEntry>();
  for (const entry of entries) {
    const [endpoint, , ageMs] = entry;
    const latest = merged.get(endpoint);
    if (latest === undefined || latest[2] > ageMs) merged.set(endpoint, entry);
  }
  return [...merged.values()];
}

/** Mean of the pauses that were seen at each endpoint. */
function meanPauses(entries: readonly EndpointPauseEntry[]): EndpointPauseEntry[] {
  const counted = sumEntries(
    entries.map(([endpoint, pauseMs]): [number, number, number] => [endpoint, pauseMs, 1]),
  );
  return counted.map(([endpoint, sumMs, count]) => [endpoint, Math.round(sumMs / count)]);
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
