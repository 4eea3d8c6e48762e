/**
 * What a sidecar remembers of idempotency keys. A key is a UUIDv7 and so tells when it was made. A key
 * that is not remembered may run only if it was made after the memory began: after the start of the
 * process, after the sidecar became the one that the key is pinned to, and after the newest key that
 * was forgotten for lack of room.
 */
import { LRUCache } from 'lru-cache';
import type { FleetConfiguration } from '../configuration/fleet-configuration.ts';
import { EndpointKind } from '../configuration/fleet-configuration.ts';
import { pickByRendezvous } from '../rendezvous/rendezvous.ts';

/** Bound on the error of any host's clock, callers' included. */
export const MAX_CLOCK_ERROR_MS = 500;

/** How far ahead of a sidecar's clock a key may be: both clocks may be wrong. */
export const MAX_KEY_AHEAD_MS = 2 * MAX_CLOCK_ERROR_MS;

/** Time after a start in which keys may have been made before it, and accepted by the earlier process. */
export const KEY_GUARD_INTERVAL_MS = 4 * MAX_CLOCK_ERROR_MS;

/** Time within which a configuration is in force everywhere. */
export const CONFIGURATION_PROPAGATION_MS = 4_000;

const DEFAULT_ENTRY_LIMIT = 20_000;
const DEFAULT_BYTE_LIMIT = 24 * 1024 * 1024;
const ENTRY_BYTES = 1_024;

/** What is to be done with a request that carries a key. */
export enum KeyAction {
  /** The key is new: run it and remember it. */
  Run = 'run',
  /** The key is known: give the first answer, also while it is still made. */
  ReturnCached = 'attach',
  /** The key is known with another request. */
  Conflict = 'conflict',
  /** The key is older than the memory: it may have run. */
  Expired = 'expired',
  /** The key was made in the future. */
  FromFuture = 'ahead',
  /** The key is pinned to another endpoint. */
  PinnedElsewhere = 'elsewhere',
}

/** A request under a key. */
export interface KeyedRequest {
  workspace: string;
  pool: string;
  /** UUIDv7. */
  key: string;
  /** Digest of all that must not differ under the same key. */
  digest: string;
}

/** What to do, with the remembered answer where there is one. */
export interface KeyDecision<Answer> {
  action: KeyAction;
  answer?: Answer | undefined;
}

/** Options of an `IdempotencyMemory`. */
export interface IdempotencyCacheOptions {
  /** Name of the endpoint beside which the sidecar runs. */
  endpoint: string;
  /** Wall-clock time of the start of the process. */
  startedAt: number;
  entryLimit?: number;
  byteLimit?: number;
}

interface Remembered<Answer> {
  digest: string;
  madeAt: number;
  answer: Answer;
}

/** Candidates of a pool from some time on. */
interface CandidateSet {
  since: number;
  names: string[];
}

/** Remembers keys with their answers. */
export class IdempotencyCache<Answer extends object> {
  private readonly endpoint: string;
  private readonly startedAt: number;
  private readonly running = new Map<string, Remembered<Answer>>();
  private readonly ended: LRUCache<string, Remembered<Answer>>;
  private readonly history = new Map<string, CandidateSet[]>();
  private forgottenUpTo = 0;

  constructor(options: IdempotencyCacheOptions) {
    this.endpoint = options.endpoint;
    this.startedAt = options.startedAt;
    this.ended = new LRUCache({
      max: options.entryLimit ?? DEFAULT_ENTRY_LIMIT,
      maxSize: options.byteLimit ?? DEFAULT_BYTE_LIMIT,
      dispose: (entry, _key, reason) => {
        if (reason === 'evict') this.forgottenUpTo = Math.max(this.forgottenUpTo, entry.madeAt);
      },
    });
  }

  /** Notes the candidates of every pool, in force from `now` on. */
  applyConfiguration(configuration: FleetConfiguration, now: number): void {
    const pools = new Set([...this.history.keys(), ...listPools(configuration)]);
    for (const pool of pools)
      this.noteCandidates(pool, listPinCandidates(configuration, pool), now);
  }

  /** Decides on a request that carries a key. */
  decide(request: KeyedRequest, now: number): KeyDecision<Answer> {
    const name = nameOf(request);
    const known = this.running.get(name) ?? this.ended.get(name);
    if (known !== undefined) {
      if (known.digest !== request.digest) return { action: KeyAction.Conflict };
      return { action: KeyAction.ReturnCached, answer: known.answer };
    }
    const madeAt = parseKeyTime(request.key);
    if (madeAt > now + MAX_KEY_AHEAD_MS) return { action: KeyAction.FromFuture };
    const wonSince = this.findWonSince(request);
    if (wonSince === undefined) return { action: KeyAction.PinnedElsewhere };
    const memoryBegan = Math.max(
      this.startedAt + KEY_GUARD_INTERVAL_MS,
      wonSince,
      this.forgottenUpTo,
    );
    return { action: madeAt > memoryBegan ? KeyAction.Run : KeyAction.Expired };
  }

  /** Remembers a key whose request runs from now on. */
  recordStart(request: KeyedRequest, answer: Answer): void {
    const madeAt = parseKeyTime(request.key);
    this.running.set(nameOf(request), { digest: request.digest, madeAt, answer });
  }

  /** Keeps the answer of a request that has ended, of `bytes` bytes, as long as there is room. */
  recordEnd(request: KeyedRequest, bytes: number): void {
    const name = nameOf(request);
    const entry = this.running.get(name);
    if (entry === undefined) return;
    this.running.delete(name);
    const size = bytes + ENTRY_BYTES;
    this.ended.set(name, entry, { size });
    // An answer over the limit of the whole memory is not taken in, so its key counts as forgotten.
    if (!this.ended.has(name)) this.forgottenUpTo = Math.max(this.forgottenUpTo, entry.madeAt);
  }

  /** Forgets a key whose request has certainly not run. */
  discard(request: KeyedRequest): void {
    this.running.delete(nameOf(request));
  }

  private noteCandidates(pool: string, names: string[], now: number): void {
    const sets = this.history.get(pool) ?? [];
    this.history.set(pool, sets);
    const latest = sets.at(-1);
    if (latest !== undefined && latest.names.join(' ') === names.join(' ')) return;
    sets.push({ since: now, names });
  }

  /**
   * Time from which on keys are surely pinned to this endpoint alone, or undefined where this one is
   * pinned elsewhere. The first set counts from the start; before it there was no memory either.
   */
  private findWonSince({ pool, key }: KeyedRequest): number | undefined {
    const sets = this.history.get(pool) ?? [];
    let index = sets.length;
    while (index > 0 && this.wins(sets[index - 1], key)) index -= 1;
    const oldest = sets[index];
    if (oldest === undefined) return undefined;
    return index === 0 ? 0 : oldest.since + KEY_GUARD_INTERVAL_MS + CONFIGURATION_PROPAGATION_MS;
  }

  private wins(set: CandidateSet | undefined, key: string): boolean {
    return set !== undefined && pickByRendezvous(key, set.names) === this.endpoint;
  }
}

/** Names of the endpoints that a key of a pool can be pinned to; those marked for a planned stop are not. */
export function listPinCandidates(configuration: FleetConfiguration, pool: string): string[] {
  const leaving = new Set(configuration.planned_stops.map(({ target }) => target));
  return configuration.endpoints
    .filter((line) =>
      line.kind === EndpointKind.Model ? line.models.includes(pool) : line.service === pool,
    )
    .filter((line) => !leaving.has(line.name))
    .map((line) => line.name)
    .sort();
}

/** Time at which a UUIDv7 was made, in milliseconds since the Unix epoch. */
export function parseKeyTime(key: string): number {
  return Number.parseInt(key.replace('-', '').slice(0, 12), 16);
}

function listPools(configuration: FleetConfiguration): string[] {
  return [...configuration.models, ...configuration.services].map((line) => line.name);
}

function nameOf({ workspace, key }: KeyedRequest): string {
  return `${workspace}\u0000${key}`;
}
