/**
 * Table of the members that one process knows. It merges the records of other processes, declares
 * suspects down that do not refute in time, refutes false records about its own process, and compares
 * itself with the table of another process by bucket hashes, so that only buckets that differ are sent.
 */
import murmurhash from 'murmurhash';
import { FlapDamper } from './flap-damper.ts';
import { supersedes, isUp, MemberState } from './member-record.ts';
import type { MemberRecord } from './member-record.ts';

/** Time within which a suspect must refute before it is declared down. */
export const SUSPICION_TIMEOUT_MS = 2_000;

/** Time for which the record of a member that is down or has left is retained. */
export const TOMBSTONE_TTL_MS = 600_000;

/** Number of buckets into which hosts are hashed for comparison. */
const BUCKET_COUNT = 64;

/** Result of a merge. */
export interface MergeResult {
  /** Records that changed the table, to be forwarded to other processes. */
  updates: MemberRecord[];
  /** Records that supersede those received, to be sent back to the sender. */
  corrections: MemberRecord[];
}

/** Options of a `MemberTable`. */
export interface MemberTableOptions {
  /** Identity of the process itself; its version starts at 1. */
  self: Omit<MemberRecord, 'version' | 'state'>;
}

interface Entry {
  record: MemberRecord;
  changedAt: number;
}

/** Stores one record for each member. */
export class MemberTable {
  private readonly entries = new Map<string, Entry>();
  private readonly damper = new FlapDamper();
  private own: MemberRecord;

  constructor({ self }: MemberTableOptions) {
    this.own = { ...self, version: 1, state: MemberState.Alive };
    this.entries.set(self.host, { record: this.own, changedAt: 0 });
  }

  /** The record of the process itself. */
  get self(): MemberRecord {
    return this.own;
  }

  find(host: string): MemberRecord | undefined {
    return this.entries.get(host)?.record;
  }

  records(): MemberRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /** Whether a host may be used: it is unknown or up, and it is not damped. */
  isUsable(host: string, now: number): boolean {
    const record = this.find(host);
    return (record === undefined || isUp(record)) && !this.damper.isDamped(host, now);
  }

  /** Lists the hosts that are damped at `now`. */
  listDamped(now: number): string[] {
    return this.damper.listDamped(now);
  }

  /** Merges records that were received from other processes. */
  merge(records: readonly MemberRecord[], now: number): MergeResult {
    const result: MergeResult = { updates: [], corrections: [] };
    for (const record of records) this.mergeRecord(record, now, result);
    return result;
  }

  /** Marks a live host as suspect. Returns the records to forward. */
  suspect(host: string, now: number): MemberRecord[] {
    const record = this.find(host);
    if (record?.state !== MemberState.Alive || host === this.own.host) return [];
    return [this.store({ ...record, state: MemberState.Suspect }, now)];
  }

  /** Marks the process itself as having left. Returns the records to forward. */
  leave(now: number): MemberRecord[] {
    this.own = { ...this.own, version: this.own.version + 1, state: MemberState.Left };
    return [this.store(this.own, now)];
  }

  /**
   * Declares suspects down after the timeout, and deletes expired tombstones. Returns the records to
   * forward.
   */
  tick(now: number): MemberRecord[] {
    const down: MemberRecord[] = [];
    for (const [host, { record, changedAt }] of this.entries) {
      if (record.state === MemberState.Suspect && now - changedAt >= SUSPICION_TIMEOUT_MS) {
        down.push(this.store({ ...record, state: MemberState.Down }, now));
      } else if (!isUp(record) && now - changedAt >= TOMBSTONE_TTL_MS) this.entries.delete(host);
    }
    return down;
  }

  /** Hash of the records of each bucket; two tables with the same records have the same hashes. */
  computeBucketHashes(): number[] {
    const buckets = new Array<number>(BUCKET_COUNT).fill(0);
    for (const { record } of this.entries.values()) {
      const bucket = computeBucket(record.host);
      buckets[bucket] = ((buckets[bucket] ?? 0) ^ hashRecord(record)) >>> 0;
    }
    return buckets;
  }

  /** Records of the buckets whose hash differs from that of another table. */
  findDifferingRecords(otherHashes: readonly number[]): MemberRecord[] {
    const ownHashes = this.computeBucketHashes();
    const differs = ownHashes.map((hash, bucket) => hash !== otherHashes[bucket]);
    return this.records().filter((record) => differs[computeBucket(record.host)] === true);
  }

  private mergeRecord(record: MemberRecord, now: number, result: MergeResult): void {
    if (record.host === this.own.host) {
      this.mergeSelf(record, now, result);
      return;
    }
    const known = this.find(record.host);
    if (known === undefined || supersedes(record, known))
      result.updates.push(this.store(record, now));
    else if (supersedes(known, record)) result.corrections.push(known);
  }

  /** Refutes a record about the process itself by raising the version above it. */
  private mergeSelf(record: MemberRecord, now: number, result: MergeResult): void {
    if (!supersedes(record, this.own)) return;
    this.own = { ...this.own, version: record.version + 1 };
    result.updates.push(this.store(this.own, now));
  }

  private store(record: MemberRecord, now: number): MemberRecord {
    const previous = this.find(record.host);
    this.entries.set(record.host, { record, changedAt: now });
    if (previous === undefined) return record;
    const hasRestarted = previous.incarnation !== record.incarnation;
    if (hasRestarted || record.state === MemberState.Down) this.damper.recordFlap(record.host, now);
    return record;
  }
}

function computeBucket(host: string): number {
  return murmurhash.v3(host) % BUCKET_COUNT;
}

function hashRecord({ host, incarnation, version, state }: MemberRecord): number {
  return murmurhash.v3(`${host} ${incarnation} ${version} ${state}`);
}
