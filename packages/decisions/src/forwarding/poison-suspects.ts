/**
 * Detects what crashes each engine that begins to answer it: a segment of prompts, or a whole request that comes
 * again and again. A crash proves little about one suspect, since all requests that had just begun at the engine
 * are suspects, with the shared segments of their prompts, and engines crash for other reasons too. A suspect is
 * blocked once it was one in several crashes at different times and no request with it has survived since the first
 * of them, while other requests have. One survivor acquits its suspects, since poison has none.
 *
 * Routers tell each other the crashes and survivals that they see. Both are kept as times, of which the latest
 * counts, so lost, repeated and reordered reports lead to the same state. A blocked suspect is released after a
 * while, in case the evidence was a coincidence; it is then blocked again, for longer, after a single crash. Routers
 * release it one after the other, and each lets one request at a time through until one has survived, so that what
 * still is poison reaches few engines.
 */
import { LRUCache } from 'lru-cache';

/** Hash of a whole request, or of a shared segment of a prompt (`SegmentHash`). */
export type SuspectHash = number;

/** Least hash of a whole request. The hashes of segments lie below it, so that one can't be taken for the other. */
const REQUEST_HASH_BASE = 2 ** 32;

/** Makes the 32-bit hash of a whole request a suspect's hash. */
export function toRequestHash(hash: number): SuspectHash {
  return REQUEST_HASH_BASE + hash;
}

/** Whether a suspect is a whole request. */
export function isRequestHash(hash: SuspectHash): boolean {
  return hash >= REQUEST_HASH_BASE;
}

/** Crashes at different times after which a suspect is blocked. */
const MIN_CRASHES = 3;

/**
 * Shortest time between two crashes that count as different, in ms. Engines that fail together, as in a power
 * failure, say nothing about what requests at all of them have. A whole request is at few engines at a time, and
 * crashes the next one as soon as it is sent again.
 */
const MIN_CRASH_GAP_MS = { segment: 300, request: 100 };

/** Time for which a crash counts, in ms. */
const CRASH_TTL_MS = 60_000;

/** Survivals of other requests during the crashes that show that engines still answer. */
const MIN_OTHER_SURVIVALS = 5;

/** Time for which a suspect is blocked for the first time, in ms; it doubles each time. */
const FIRST_BLOCK_MS = 30_000;

/** Longest time for which a suspect is blocked, in ms. */
export const MAX_BLOCK_MS = 900_000;

/** Time after its release during which a single crash blocks a suspect again, in ms. */
const PROBATION_MS = 300_000;

/** Time for which the first request after a release keeps others back at its router, in ms. */
const PROBE_MS = 10_000;

/** Difference between two routers' times of release below which they count as equal, in ms. */
const RELEASE_TOLERANCE_MS = 1_000;

/** Most suspects that are remembered, as a bound on memory. */
const MAX_SUSPECTS = 5_000;

/** Most suspects whose latest survival is remembered. */
const MAX_SURVIVORS = 20_000;

/** Most crashes that are remembered of one suspect. */
const MAX_CRASHES_PER_SUSPECT = 16;

/** A suspect that is blocked now. */
export interface BlockedSuspect {
  suspect: SuspectHash;
  /** Monotonic time at which it was blocked, in ms. */
  blockedAt: number;
  /** Monotonic time of its release, in ms. */
  releasedAt: number;
}

/** Options of a `PoisonSuspects`. */
export interface PoisonSuspectsOptions {
  /** Time by which this router releases suspects later than it tells its peers, in ms. */
  releaseDelayMs?: number;
}

/** What a crash has led to. */
export interface CrashResult {
  /** Suspects that are blocked since. */
  blocked: BlockedSuspect[];
  /** Suspects that a request has survived after the crash; peers that hear of the crash may not know of it. */
  survived: { suspect: SuspectHash; survivedAt: number }[];
}

interface SuspectRecord {
  /** Monotonic time of each crash in which the suspect was a suspect, by the hash of the endpoint's incarnation. */
  crashedAt: Map<number, number>;
  /** Survivals that this router had counted at the first of the crashes that count. */
  survivalsBefore: number;
  /** Monotonic time of the first crash that led to the latest block, in ms. */
  suspectSince: number;
  blockedAt: number;
  releasedAt: number;
  /** Length of the latest block, in ms; 0 if it was never blocked. */
  blockMs: number;
  /** Monotonic time until which a request that was let through keeps others back, in ms. */
  probedUntil: number;
}

/** Tracks the evidence against prompt suspects, and those that are blocked. */
export class PoisonSuspects {
  private readonly records = new LRUCache<SuspectHash, SuspectRecord>({ max: MAX_SUSPECTS });
  /** Monotonic time of the latest survival of each suspect, in ms. */
  private readonly survivedAt = new LRUCache<SuspectHash, number>({ max: MAX_SURVIVORS });
  private survivals = 0;
  private readonly releaseDelayMs: number;

  constructor({ releaseDelayMs = 0 }: PoisonSuspectsOptions = {}) {
    this.releaseDelayMs = releaseDelayMs;
  }

  /** Records that an endpoint crashed at time `at` under requests that had just begun and have these suspects. */
  recordCrash(
    endpoint: number,
    suspects: Iterable<SuspectHash>,
    at: number,
    now: number,
  ): CrashResult {
    const result: CrashResult = { blocked: [], survived: [] };
    for (const suspect of suspects) {
      const record = this.records.get(suspect) ?? this.createRecord(suspect);
      if (record.crashedAt.has(endpoint)) continue;
      this.addCrash(suspect, record, endpoint, at, now);
      const survivedAt = this.lastSurvival(suspect);
      if (survivedAt > at) result.survived.push({ suspect, survivedAt });
      if (now < record.releasedAt || !this.isProven(suspect, record, now)) continue;
      this.block(suspect, record, now);
      result.blocked.push({ suspect, blockedAt: record.blockedAt, releasedAt: record.releasedAt });
    }
    return result;
  }

  /**
   * Records that a request with these suspects has survived at time `at`. Returns those that were suspects, of
   * which peers must be told.
   */
  recordSurvival(suspects: Iterable<SuspectHash>, at: number): SuspectHash[] {
    this.survivals += 1;
    return [...suspects].filter((suspect) => this.acquit(suspect, at));
  }

  /** Applies a survival; true if the suspect had been a suspect or blocked. */
  acquit(suspect: SuspectHash, at: number): boolean {
    const previous = this.lastSurvival(suspect);
    if (at <= previous) return false;
    this.survivedAt.set(suspect, at);
    const record = this.records.get(suspect);
    if (record === undefined) return false;
    const wasBlocked = record.releasedAt > at && record.suspectSince < at;
    const wasOnProbation = isOnProbation(record, at) && record.blockedAt < at;
    if (wasBlocked) record.releasedAt = at;
    if (record.blockedAt < at || wasBlocked) record.blockMs = 0;
    return (
      wasBlocked ||
      wasOnProbation ||
      [...record.crashedAt.values()].some((time) => time > previous && time < at)
    );
  }

  /** Applies a block that a peer reports, unless the suspect is known to have survived since. */
  applyBlock({ suspect, blockedAt, releasedAt }: BlockedSuspect, now: number): boolean {
    const record = this.records.get(suspect) ?? this.createRecord(suspect);
    if (releasedAt <= now || blockedAt <= this.lastSurvival(suspect)) return false;
    if (releasedAt <= record.releasedAt + RELEASE_TOLERANCE_MS) return false;
    record.suspectSince = blockedAt;
    record.blockedAt = blockedAt;
    record.releasedAt = releasedAt;
    record.blockMs = releasedAt - blockedAt;
    return true;
  }

  /** The first of these suspects that is blocked. */
  findBlocked(suspects: readonly SuspectHash[], now: number): BlockedSuspect | undefined {
    for (const suspect of suspects) {
      const record = this.records.peek(suspect);
      if (record === undefined) continue;
      const releasedAt = this.localRelease(record);
      if (now < releasedAt) return { suspect, blockedAt: record.blockedAt, releasedAt };
    }
    return undefined;
  }

  /** Records that a request with these suspects, none of which is blocked, is let through. */
  recordAdmitted(suspects: readonly SuspectHash[], now: number): void {
    for (const suspect of suspects) {
      const record = this.records.peek(suspect);
      if (record !== undefined && isOnProbation(record, now)) record.probedUntil = now + PROBE_MS;
    }
  }

  /** Whether one of these suspects was a suspect in a crash that no request with it has survived since. */
  hasSuspect(suspects: readonly SuspectHash[], now: number): boolean {
    return suspects.some((suspect) => {
      const record = this.records.peek(suspect);
      return record !== undefined && this.countCrashes(suspect, record, now) > 0;
    });
  }

  /** All suspects that are blocked. */
  listBlocked(now: number): BlockedSuspect[] {
    const blocked: BlockedSuspect[] = [];
    for (const [suspect, { blockedAt, releasedAt }] of this.records.entries()) {
      if (now < releasedAt) blocked.push({ suspect, blockedAt, releasedAt });
    }
    return blocked;
  }

  /** Time at which this router lets the next request with the suspect through. */
  private localRelease({ blockMs, releasedAt, probedUntil }: SuspectRecord): number {
    if (blockMs === 0) return releasedAt;
    return Math.max(releasedAt + this.releaseDelayMs, probedUntil);
  }

  private createRecord(suspect: SuspectHash): SuspectRecord {
    const record: SuspectRecord = {
      crashedAt: new Map(),
      survivalsBefore: this.survivals,
      suspectSince: Number.NEGATIVE_INFINITY,
      blockedAt: Number.NEGATIVE_INFINITY,
      releasedAt: Number.NEGATIVE_INFINITY,
      blockMs: 0,
      probedUntil: Number.NEGATIVE_INFINITY,
    };
    this.records.set(suspect, record);
    return record;
  }

  private addCrash(
    suspect: SuspectHash,
    record: SuspectRecord,
    endpoint: number,
    at: number,
    now: number,
  ): void {
    if (this.countCrashes(suspect, record, now) === 0) record.survivalsBefore = this.survivals;
    if (record.crashedAt.size >= MAX_CRASHES_PER_SUSPECT) forgetOldest(record.crashedAt);
    record.crashedAt.set(endpoint, at);
  }

  /** Whether the crashes prove a suspect to be poison. After a block, one crash confirms the earlier proof. */
  private isProven(suspect: SuspectHash, record: SuspectRecord, now: number): boolean {
    const crashes = this.countCrashes(suspect, record, now);
    if (isOnProbation(record, now)) return crashes > 0;
    const otherSurvivals = this.survivals - record.survivalsBefore;
    return crashes >= MIN_CRASHES && otherSurvivals >= MIN_OTHER_SURVIVALS;
  }

  private block(suspect: SuspectHash, record: SuspectRecord, now: number): void {
    const [firstCrashAt = now] = this.listCrashTimes(suspect, record, now);
    record.suspectSince = firstCrashAt;
    record.blockMs =
      record.blockMs === 0 ? FIRST_BLOCK_MS : Math.min(MAX_BLOCK_MS, 2 * record.blockMs);
    record.blockedAt = now;
    record.releasedAt = now + record.blockMs;
  }

  /** Times of the crashes that count, in order: neither survived, nor expired, nor before a release. */
  private listCrashTimes(suspect: SuspectHash, record: SuspectRecord, now: number): number[] {
    const since = Math.max(this.lastSurvival(suspect), record.releasedAt, now - CRASH_TTL_MS);
    return [...record.crashedAt.values()].filter((at) => at > since).sort((a, b) => a - b);
  }

  /** Number of crashes at different times that count. */
  private countCrashes(suspect: SuspectHash, record: SuspectRecord, now: number): number {
    let count = 0;
    let latest = Number.NEGATIVE_INFINITY;
    const minGapMs = isRequestHash(suspect) ? MIN_CRASH_GAP_MS.request : MIN_CRASH_GAP_MS.segment;
    for (const at of this.listCrashTimes(suspect, record, now)) {
      if (at - latest < minGapMs) continue;
      count += 1;
      latest = at;
    }
    return count;
  }

  private lastSurvival(suspect: SuspectHash): number {
    return this.survivedAt.peek(suspect) ?? Number.NEGATIVE_INFINITY;
  }
}

function isOnProbation({ blockMs, releasedAt }: SuspectRecord, now: number): boolean {
  return blockMs > 0 && now < releasedAt + PROBATION_MS;
}

function forgetOldest(crashedAt: Map<number, number>): void {
  const [oldest] = crashedAt.keys();
  if (oldest !== undefined) crashedAt.delete(oldest);
}
