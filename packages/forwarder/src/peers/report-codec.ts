/**
 * Encodes reports as MessagePack datagrams, and decodes and checks those of other routers. Anyone on the network
 * can send a datagram, and it may have been corrupted, so numbers are checked for their range and addresses for
 * their form: the sums over all routers and the sockets rely on them.
 */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { isAddress } from '@poplarpick/fleet/address';
import { MAX_BLOCK_MS } from '@poplarpick/decisions';
import type { DepartedVersionEntry, WorkspaceUsage } from '@poplarpick/decisions';
import type { MemberEntry } from './member-directory.ts';
import type {
  BlockedSuspectEntry,
  CachedSegmentEntry,
  EndpointLimitEntry,
  EndpointLoadEntry,
  EndpointNeedEntry,
  EndpointPauseEntry,
  LateRateEntry,
  PeerReport,
  SuspectCrashEntry,
  SuspectSurvivalEntry,
} from './peer-table.ts';

/**
 * Largest datagram that is sent, in bytes. A larger report leaves out what its receivers can do without, and
 * is not sent at all if that isn't enough.
 */
export const MAX_DATAGRAM_BYTES = 16_000;

/** Largest count in a report, in requests or tokens: far above any real one, and exact in sums over all routers. */
const MAX_COUNT = 1_000_000_000_000;

/** Parts that a report which is too large leaves out, in this order. */
export enum ReportPart {
  Refused = 'refused',
  Cached = 'cached',
  Workspaces = 'workspaces',
  Versions = 'versions',
}

/** Most routers that one group report may stand for. */
const MAX_ROUTERS = 10_000;

const packr = new Packr({ useRecords: false });

/** Validates a decoded datagram. */
export const peerReportSchema = z.object({
  from: z.string().refine(isAddress),
  startedAt: z.number(),
  sequence: z.number(),
  version: z.number(),
  stateAgeMs: z.number().nonnegative().optional(),
  readAgeMs: z.number().nonnegative().optional(),
  dataCentre: z.string().optional(),
  routers: z.int().min(1).max(MAX_ROUTERS).optional(),
  peers: listOf<string>(isAddress).optional(),
  members: listOf<MemberEntry>(isMember).optional(),
  knownMembers: z.number().optional(),
  loads: listOf<EndpointLoadEntry>((entry) => isCounts(entry, 5)),
  workspaces: listOf<WorkspaceUsage>(isWorkspaceUsage).optional(),
  kept: listOf<CachedSegmentEntry>((entry) => isCounts(entry, 3)),
  lateRates: listOf<LateRateEntry>(isLateRate),
  refused: listOf<number>(Number.isFinite).optional(),
  draining: listOf<number>(Number.isFinite).optional(),
  crashes: listOf<SuspectCrashEntry>((entry) => isCounts(entry, 3)).optional(),
  survivals: listOf<SuspectSurvivalEntry>((entry) => isCounts(entry, 2)).optional(),
  blocked: listOf<BlockedSuspectEntry>(isBlockedSuspect).optional(),
  limits: listOf<EndpointLimitEntry>((entry) => isCounts(entry, 3)).optional(),
  needs: listOf<EndpointNeedEntry>((entry) => isCounts(entry, 3)).optional(),
  pauses: listOf<EndpointPauseEntry>((entry) => isCounts(entry, 2)).optional(),
  versionsKnownMs: z.number().nonnegative().optional(),
  departedVersions: listOf<DepartedVersionEntry>(isDepartedVersion).optional(),
}) satisfies z.ZodType<PeerReport>;

/**
 * A list that one function checks. A schema for each entry takes most of the time that a report costs, and
 * the number of reports and the size of each grow with the fleet.
 */
function listOf<Entry>(isEntry: (entry: unknown) => boolean): z.ZodType<Entry[]> {
  return z.custom<Entry[]>((list) => Array.isArray(list) && list.every(isEntry));
}

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_COUNT;
}

function isCounts(entry: unknown, length: number): boolean {
  return Array.isArray(entry) && entry.length === length && entry.every(isCount);
}

function isWorkspaceUsage(entry: unknown): boolean {
  if (!Array.isArray(entry) || typeof entry[0] !== 'string') return false;
  return isCounts(entry.slice(1), 3);
}

function isLateRate(entry: unknown): boolean {
  if (!Array.isArray(entry) || entry.length !== 2) return false;
  const [pool, rate] = entry as unknown[];
  return isCount(pool) && typeof rate === 'number' && rate >= 0 && rate <= 1;
}

function isBlockedSuspect(entry: unknown): boolean {
  return isCounts(entry, 3) && (entry as BlockedSuspectEntry)[2] <= MAX_BLOCK_MS;
}

function isDepartedVersion(entry: unknown): boolean {
  if (!Array.isArray(entry) || entry.length !== 3) return false;
  const [pool, version, ageMs] = entry as unknown[];
  return typeof pool === 'string' && typeof version === 'string' && isCount(ageMs);
}

function isMember(entry: unknown): boolean {
  if (!Array.isArray(entry) || entry.length !== 2) return false;
  const [address, dataCentre] = entry as unknown[];
  return isAddress(address) && typeof dataCentre === 'string';
}

/** Decodes a datagram. Throws when it is no valid report. */
export function decodeReport(message: Buffer): PeerReport {
  return peerReportSchema.parse(packr.unpack(message));
}

/**
 * Encodes a report as a datagram of at most `MAX_DATAGRAM_BYTES`. If it is too large, it leaves out first the
 * refused requests, then the cached segments, then the workspaces, then the versions: a receiver that gets none of
 * them concludes nothing. Undefined if it is too large even then. `onShortened` gets the last part that was left out.
 */
export function encodeReport(
  report: PeerReport,
  onShortened?: (leftOut: ReportPart) => void,
): Buffer | undefined {
  const withoutWorkspaces = { ...report, refused: [], kept: [], workspaces: undefined };
  const shortened: [leftOut: ReportPart | undefined, shorter: PeerReport][] = [
    [undefined, report],
    [ReportPart.Refused, { ...report, refused: [] }],
    [ReportPart.Cached, { ...report, refused: [], kept: [] }],
    [ReportPart.Workspaces, withoutWorkspaces],
    [
      ReportPart.Versions,
      { ...withoutWorkspaces, versionsKnownMs: undefined, departedVersions: undefined },
    ],
  ];
  for (const [leftOut, candidate] of shortened) {
    const message = packr.pack(candidate);
    if (message.length > MAX_DATAGRAM_BYTES) continue;
    if (leftOut !== undefined) onShortened?.(leftOut);
    return message;
  }
  return undefined;
}
