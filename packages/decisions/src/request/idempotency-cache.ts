/**
 * Cache of the idempotency keys that a sidecar has seen, with their answers. A key is a UUIDv7 and so
 * contains its creation time. A request whose key is not in the cache may run only if the key is
 * certain to be new, which holds if it was created after the process started, after the key became
 * pinned to this sidecar's endpoint, and after the newest key that was evicted.
 */
import { LRUCache } from 'lru-cache';
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { EndpointKind } from '../configuration/fleet-configuration.ts';
import { pickByRendezvous } from '../rendezvous/rendezvous.ts';

/** Upper bound on the error of any host's clock, including callers' hosts. */
export const MAX_CLOCK_ERROR_MS = 500;

/** How far a key's time may be ahead of the sidecar's clock, since both clocks may be wrong. */
export const MAX_KEY_AHEAD_MS = 2 * MAX_CLOCK_ERROR_MS;

/**
 * Keys whose time is within this interval after a start may have been created before it and accepted
 * by the previous process.
 */
export const KEY_GUARD_INTERVAL_MS = 4 * MAX_CLOCK_ERROR_MS;

/** Time within which a new configuration is in force on all hosts. */
export const CONFIGURATION_PROPAGATION_MS = 4_000;

const DEFAULT_ENTRY_LIMIT = 20_000;
const DEFAULT_BYTE_LIMIT = 24 * 1024 * 1024;
const ENTRY_OVERHEAD_BYTES = 1_024;

/** Action for a request with an idempotency key. */
export enum KeyAction {
  /** The key is new: run the request and cache its answer. */
  Run = 'run',
  /** The key is cached: return the first answer, which may still be in progress. */
  ReturnCached = 'attach',
  /** The key is cached for a different request. */
  Conflict = 'conflict',
  /** The key is older than the cache covers: its request may have run. */
  Expired = 'expired',
  /** The key's time is in the future. */
  FromFuture = 'ahead',
  /** The key is pinned to another endpoint. */
  PinnedElsewhere = 'elsewhere',
}

/** A request with an idempotency key. */
export interface KeyedRequest {
  workspace: string;
  pool: string;
  /** UUIDv7. */
  key: string;
  /** Digest of everything that must be the same for all requests with the key. */
  digest: string;
}

/** The action, with the cached answer for `ReturnCached`. */
export interface KeyDecision<Answer> {
  action: KeyAction;
  answer?: Answer | undefined;
}

/** Options of an `IdempotencyCache`. */
export interface IdempotencyCacheOptions {
  /** Name of the sidecar's endpoint. */
  endpoint: string;
  /** Wall-clock time at which the process started, in milliseconds. */
  startedAt: number;
  entryLimit?: number;
  byteLimit?: number;
}

interface CacheEntry<Answer> {
  digest: string;
  /** Creation time of the key, in milliseconds since the Unix epoch. */
  createdAt: number;
  answer: Answer;
}

/** Endpoints that keys of a pool can be pinned to, in force since a point in time. */
interface CandidateSet {
  since: number;
  names: string[];
}

/** Caches answers by idempotency key. */
export class IdempotencyCache<Answer extends object> {
  private readonly endpoint: string;
  private readonly startedAt: number;
  private readonly runningEntries = new Map<string, CacheEntry<Answer>>();
  private readonly endedEntries: LRUCache<string, CacheEntry<Answer>>;
  private readonly candidateHistory = new Map<string, CandidateSet[]>();
  /** Creation time of the newest key that was evicted or too large to store. */
  private evictedUpTo = 0;

  constructor(options: IdempotencyCacheOptions) {
    this.endpoint = options.endpoint;
    this.startedAt = options.startedAt;
    this.endedEntries = new LRUCache({
      max: options.entryLimit ?? DEFAULT_ENTRY_LIMIT,
      maxSize: options.byteLimit ?? DEFAULT_BYTE_LIMIT,
      dispose: (entry, _key, reason) => {
        if (reason === 'evict') this.evictedUpTo = Math.max(this.evictedUpTo, entry.createdAt);
      },
    });
  }

  /** Records the pin candidates of every pool, in force from `now` on. */
  applyConfiguration(configuration: FleetConfiguration, now: number): void {
    const pools = new Set([...this.candidateHistory.keys(), ...listPools(configuration)]);
    for (const pool of pools)
      this.recordCandidates(pool, listPinCandidates(configuration, pool), now);
  }

  /** Decides how to handle a request with an idempotency key. */
  decide(request: KeyedRequest, now: number): KeyDecision<Answer> {
    const cacheKey = formatCacheKey(request);
    const entry = this.runningEntries.get(cacheKey) ?? this.endedEntries.get(cacheKey);
    if (entry !== undefined) {
      if (entry.digest !== request.digest) return { action: KeyAction.Conflict };
      return { action: KeyAction.ReturnCached, answer: entry.answer };
    }
    const createdAt = parseKeyTime(request.key);
    if (createdAt > now + MAX_KEY_AHEAD_MS) return { action: KeyAction.FromFuture };
    const pinnedSince = this.findPinnedSince(request);
    if (pinnedSince === undefined) return { action: KeyAction.PinnedElsewhere };
    const coverageStart = Math.max(
      this.startedAt + KEY_GUARD_INTERVAL_MS,
      pinnedSince,
      this.evictedUpTo,
    );
    return { action: createdAt > coverageStart ? KeyAction.Run : KeyAction.Expired };
  }

  /** Adds a key whose request starts to run. */
  recordStart(request: KeyedRequest, answer: Answer): void {
    const createdAt = parseKeyTime(request.key);
    this.runningEntries.set(formatCacheKey(request), { digest: request.digest, createdAt, answer });
  }

  /** Retains the answer of a request that has ended, of `bytes` bytes, until it is evicted. */
  recordEnd(request: KeyedRequest, bytes: number): void {
    const cacheKey = formatCacheKey(request);
    const entry = this.runningEntries.get(cacheKey);
    if (entry === undefined) return;
    this.runningEntries.delete(cacheKey);
    const size = bytes + ENTRY_OVERHEAD_BYTES;
    this.endedEntries.set(cacheKey, entry, { size });
    // An answer larger than the whole cache is not stored, so its key counts as evicted.
    if (!this.endedEntries.has(cacheKey))
      this.evictedUpTo = Math.max(this.evictedUpTo, entry.createdAt);
  }

  /** Removes a key whose request has certainly not run. */
  discard(request: KeyedRequest): void {
    this.runningEntries.delete(formatCacheKey(request));
  }

  private recordCandidates(pool: string, names: string[], now: number): void {
    const sets = this.candidateHistory.get(pool) ?? [];
    this.candidateHistory.set(pool, sets);
    const latest = sets.at(-1);
    if (latest !== undefined && latest.names.join(' ') === names.join(' ')) return;
    sets.push({ since: now, names });
  }

  /**
   * Returns the time since which new keys are certain to be pinned to this endpoint alone, or
   * undefined if the key is pinned to another endpoint. The first set of candidates yields 0, since
   * the start of the process already bounds what the cache covers.
   */
  private findPinnedSince({ pool, key }: KeyedRequest): number | undefined {
    const sets = this.candidateHistory.get(pool) ?? [];
    let index = sets.length;
    while (index > 0 && this.isPinnedHere(sets[index - 1], key)) index -= 1;
    const firstPinnedSet = sets[index];
    if (firstPinnedSet === undefined) return undefined;
    return index === 0
      ? 0
      : firstPinnedSet.since + KEY_GUARD_INTERVAL_MS + CONFIGURATION_PROPAGATION_MS;
  }

  private isPinnedHere(set: CandidateSet | undefined, key: string): boolean {
    return set !== undefined && pickByRendezvous(key, set.names) === this.endpoint;
  }
}

/** Returns the sorted names of a pool's endpoints without a planned stop, to which keys can be pinned. */
export function listPinCandidates(configuration: FleetConfiguration, pool: string): string[] {
  const stoppingTargets = new Set(configuration.planned_stops.map(({ target }) => target));
  return configuration.endpoints
    .filter((endpoint) =>
      endpoint.kind === EndpointKind.Model
        ? endpoint.models.includes(pool)
        : endpoint.service === pool,
    )
    .filter((endpoint) => !stoppingTargets.has(endpoint.name))
    .map((endpoint) => endpoint.name)
    .sort();
}

/** Returns the creation time of a UUIDv7, in milliseconds since the Unix epoch. */
export function parseKeyTime(key: string): number {
  return Number.parseInt(key.replace('-', '').slice(0, 12), 16);
}

function listPools(configuration: FleetConfiguration): string[] {
  return [...configuration.models, ...configuration.services].map((pool) => pool.name);
}

function formatCacheKey({ workspace, key }: KeyedRequest): string {
  return `${workspace}\u0000${key}`;
}
