/** Encodes reports as MessagePack datagrams, and decodes and checks those of other routers. */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import type { WorkspaceUsage } from '@poplarpick/decisions';
import type { MemberEntry } from './member-directory.ts';
import type {
  CachedSegmentEntry,
  EndpointLoadEntry,
  LateRateEntry,
  PeerReport,
} from './peer-table.ts';

/**
 * Largest datagram that is sent, in bytes. A larger report leaves out what its receivers can do without, and
 * is not sent at all if that isn't enough.
 */
export const MAX_DATAGRAM_BYTES = 16_000;

const packr = new Packr({ useRecords: false });

/** Validates a decoded datagram. */
export const peerReportSchema = z.object({
  from: z.string(),
  startedAt: z.number(),
  sequence: z.number(),
  version: z.number(),
  stateAgeMs: z.number().optional(),
  readAgeMs: z.number().optional(),
  dataCentre: z.string().optional(),
  routers: z.int().min(1).optional(),
  peers: z.array(z.string()).optional(),
  members: listOf<MemberEntry>(isMember).optional(),
  knownMembers: z.number().optional(),
  loads: listOf<EndpointLoadEntry>((entry) => isNumbers(entry, 5)),
  workspaces: listOf<WorkspaceUsage>(isWorkspaceUsage).optional(),
  kept: listOf<CachedSegmentEntry>((entry) => isNumbers(entry, 3)),
  lateRates: listOf<LateRateEntry>((entry) => isNumbers(entry, 2)),
  refused: listOf<number>(Number.isFinite).optional(),
  draining: listOf<number>(Number.isFinite).optional(),
}) satisfies z.ZodType<PeerReport>;

/**
 * A list that one function checks. A schema for each entry takes most of the time that a report costs, and
 * the number of reports and the size of each grow with the fleet.
 */
function listOf<Entry>(isEntry: (entry: unknown) => boolean): z.ZodType<Entry[]> {
  return z.custom<Entry[]>((list) => Array.isArray(list) && list.every(isEntry));
}

function isNumbers(entry: unknown, length: number): boolean {
  return Array.isArray(entry) && entry.length === length && entry.every(Number.isFinite);
}

function isWorkspaceUsage(entry: unknown): boolean {
  if (!Array.isArray(entry) || typeof entry[0] !== 'string') return false;
  return isNumbers(entry.slice(1), 3);
}

function isMember(entry: unknown): boolean {
  return (
    Array.isArray(entry) && entry.length === 2 && entry.every((text) => typeof text === 'string')
  );
}

/** Decodes a datagram. Throws when it is no valid report. */
export function decodeReport(message: Buffer): PeerReport {
  return peerReportSchema.parse(packr.unpack(message));
}

/**
 * Encodes a report as a datagram of at most `MAX_DATAGRAM_BYTES`. If it is too large, it leaves out first the
 * refused requests, then the cached segments, then the workspaces. Undefined if it is too large even then.
 */
export function encodeReport(report: PeerReport): Buffer | undefined {
  const shortened: PeerReport[] = [
    report,
    { ...report, refused: [] },
    { ...report, refused: [], kept: [] },
    { ...report, refused: [], kept: [], workspaces: undefined },
  ];
  for (const candidate of shortened) {
    const message = packr.pack(candidate);
    if (message.length <= MAX_DATAGRAM_BYTES) return message;
  }
  return undefined;
}
