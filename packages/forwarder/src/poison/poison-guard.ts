/**
 * Watches the ends of attempts for what crashes endpoints, and exchanges with the peers what this router has seen. An
 * endpoint has crashed if it ends an attempt and is silent from then on; a router waits for a moment before it
 * draws that conclusion, since endpoints also break off single answers.
 */
import { LRUCache } from 'lru-cache';
import { isRequestHash, PoisonSuspects } from '@poplarpick/decisions';
import type { BlockedSuspect, SuspectHash } from '@poplarpick/decisions';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import type { BlockedSuspectEntry, PeerReport } from '../peers/peer-table.ts';
import { RepeatedAnnouncements } from './repeated-announcements.ts';

/** Time after the end of an attempt after which the endpoint's silence is judged, in ms. */
const JUDGEMENT_DELAY_MS = 250;

/** Time in which bytes may still be read that were sent before the end of an attempt, in ms. */
const READ_DELAY_MS = 100;

/** Time within which the routers release a suspect one after the other, in ms. */
const RELEASE_SPREAD_MS = 30_000;

/** Most endpoints whose latest loss is remembered, as a bound on memory. */
const MAX_ENDPOINTS = 5_000;

/** Most crashes or survivals in one report, so that it fits into a datagram. */
const MAX_ENTRIES_PER_REPORT = 200;

/** Most blocked suspects in one report. */
const MAX_BLOCKED_PER_REPORT = 100;

/** What a report tells about suspects. */
export type PoisonReport = Required<Pick<PeerReport, 'crashes' | 'survivals' | 'blocked'>>;

/** What a block is based on. */
enum BlockSource {
  /** Crashes that this router or its peers have seen. */
  Evidence = 'evidence',
  /** A peer that blocks the suspect. */
  Peer = 'peer',
}

/** What the guard needs to know of an endpoint. */
export type WatchedEndpoint = Pick<EndpointRecord, 'endpoint' | 'incarnationHash' | 'load'>;

/** Options of a `PoisonGuard`. */
export interface PoisonGuardOptions {
  clock: Clock;
  log: Logger;
  /** Finds an endpoint by the hash of its incarnation. */
  findEndpoint: (incarnationHash: number) => WatchedEndpoint | undefined;
  /** Source of random numbers in 0..1. */
  random?: () => number;
}

/** Finds and blocks segments of prompts and whole requests that crash endpoints. */
export class PoisonGuard {
  private readonly options: PoisonGuardOptions;
  private readonly suspects: PoisonSuspects;
  /** Monotonic time of the latest lost attempt at each endpoint, by the hash of its incarnation, in ms. */
  private readonly latestLosses = new LRUCache<number, number>({ max: MAX_ENDPOINTS });
  private readonly crashes = new RepeatedAnnouncements<[endpoint: number, suspect: number]>();
  private readonly survivals = new RepeatedAnnouncements<SuspectHash>();

  constructor(options: PoisonGuardOptions) {
    this.options = options;
    const { random = Math.random } = options;
    this.suspects = new PoisonSuspects({ releaseDelayMs: random() * RELEASE_SPREAD_MS });
  }

  /** Numbers of segments and of whole requests that are blocked. */
  countBlocked(): { segments: number; requests: number } {
    const blocked = this.suspects.listBlocked(this.now());
    const requests = blocked.filter(({ suspect }) => isRequestHash(suspect)).length;
    return { segments: blocked.length - requests, requests };
  }

  /** The first of these suspects that is blocked, and the time until its release in ms. */
  findBlocked(
    suspects: readonly SuspectHash[],
  ): { suspect: SuspectHash; remainingMs: number } | undefined {
    const now = this.now();
    const blocked = this.suspects.findBlocked(suspects, now);
    return blocked && { suspect: blocked.suspect, remainingMs: blocked.releasedAt - now };
  }

  /** Records that a request is let through; with a suspect that was released lately it keeps others back. */
  recordAdmitted(suspects: readonly SuspectHash[]): void {
    this.suspects.recordAdmitted(suspects, this.now());
  }

  /** Whether one of these is blocked or was in a crash, so that a request with it is not repeated. */
  mayBePoison(suspects: readonly SuspectHash[]): boolean {
    return this.findBlocked(suspects) !== undefined || this.isSuspect(suspects);
  }

  /** Whether one of these suspects was in a crash that no request with it has survived since. */
  isSuspect(suspects: readonly SuspectHash[]): boolean {
    return this.suspects.hasSuspect(suspects, this.now());
  }

  /** Records that the connection of an attempt was lost that had just begun, or not begun to be answered. */
  recordLoss(record: WatchedEndpoint, suspects: readonly SuspectHash[]): void {
    if (suspects.length === 0) return;
    const lostAt = this.now();
    this.latestLosses.set(record.incarnationHash, lostAt);
    this.options.clock.afterPoll(JUDGEMENT_DELAY_MS, () => {
      if (!hasSpokenSince(record, lostAt)) this.recordCrash(record, suspects, lostAt);
    });
  }

  /**
   * Records an answer that ended with its connection. Its request has survived if the endpoint goes on. If other
   * attempts were lost at the same time and the endpoint is silent since, it has crashed under this one too.
   */
  recordUnframedEnd(record: WatchedEndpoint, suspects: readonly SuspectHash[]): void {
    const endedAt = this.now();
    this.options.clock.afterPoll(JUDGEMENT_DELAY_MS, () => {
      if (hasSpokenSince(record, endedAt)) this.recordSurvival(suspects, endedAt);
      else if (this.hasLostOthers(record, endedAt)) this.recordCrash(record, suspects, endedAt);
    });
  }

  /** Records that the endpoint goes on after it began to answer a request with these suspects. */
  recordSurvival(suspects: readonly SuspectHash[], at = this.now()): void {
    for (const suspect of this.suspects.recordSurvival(suspects, at))
      this.survivals.add(suspect, at);
  }

  /** Builds this router's part of a report. */
  buildReport(): PoisonReport {
    const now = this.now();
    const age = (at: number): number => Math.max(0, Math.round(now - at));
    return {
      crashes: this.crashes
        .take(MAX_ENTRIES_PER_REPORT)
        .map(({ entry: [endpoint, suspect], at }) => [endpoint, suspect, age(at)]),
      survivals: this.survivals
        .take(MAX_ENTRIES_PER_REPORT)
        .map(({ entry, at }) => [entry, age(at)]),
      blocked: this.suspects
        .listBlocked(now)
        .slice(0, MAX_BLOCKED_PER_REPORT)
        .map(({ suspect, blockedAt, releasedAt }) => [
          suspect,
          age(blockedAt),
          Math.round(releasedAt - now),
        ]),
    };
  }

  /** Applies a peer's report. */
  applyReport({ crashes = [], survivals = [], blocked = [] }: Partial<PoisonReport>): void {
    const now = this.now();
    for (const [suspect, ageMs] of survivals) this.suspects.acquit(suspect, now - ageMs);
    for (const [endpoint, suspect, ageMs] of crashes) {
      const record = this.options.findEndpoint(endpoint);
      if (record !== undefined && hasSpokenSince(record, now - ageMs)) continue;
      this.applyCrash(endpoint, [suspect], now - ageMs);
    }
    for (const entry of blocked) this.applyBlock(entry, now);
  }

  /** Whether attempts at the endpoint were lost at about this time. */
  private hasLostOthers({ incarnationHash }: WatchedEndpoint, at: number): boolean {
    const lostAt = this.latestLosses.get(incarnationHash) ?? Number.NEGATIVE_INFINITY;
    return Math.abs(lostAt - at) <= READ_DELAY_MS;
  }

  private applyBlock([suspect, ageMs, remainingMs]: BlockedSuspectEntry, now: number): void {
    const blocked = { suspect, blockedAt: now - ageMs, releasedAt: now + remainingMs };
    if (this.suspects.applyBlock(blocked, now)) this.logBlocked([blocked], BlockSource.Peer);
  }

  private recordCrash(
    record: WatchedEndpoint,
    suspects: readonly SuspectHash[],
    lostAt: number,
  ): void {
    const { log } = this.options;
    const { incarnationHash, endpoint } = record;
    log.info({ event: 'endpoint.crashed', endpoint: endpoint.id, suspects: suspects.join(',') });
    this.applyCrash(incarnationHash, suspects, lostAt);
    for (const suspect of suspects) this.crashes.add([incarnationHash, suspect], lostAt);
  }

  private applyCrash(endpoint: number, suspects: readonly SuspectHash[], at: number): void {
    const now = this.now();
    const { blocked, survived } = this.suspects.recordCrash(endpoint, suspects, at, now);
    for (const { suspect, survivedAt } of survived) this.survivals.add(suspect, survivedAt);
    this.logBlocked(blocked);
  }

  private logBlocked(blocked: readonly BlockedSuspect[], source = BlockSource.Evidence): void {
    for (const { suspect, releasedAt } of blocked) {
      const blockMs = Math.round(releasedAt - this.now());
      const fields = isRequestHash(suspect)
        ? { event: 'request.blocked', request_hash: suspect }
        : { event: 'prompt.segment_blocked', segment: suspect };
      this.options.log.warn({ ...fields, block_ms: blockMs, source });
    }
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}

function hasSpokenSince({ load }: WatchedEndpoint, at: number): boolean {
  return load.lastReceivedAt > at + READ_DELAY_MS;
}
