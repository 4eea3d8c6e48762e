/**
 * Which versions of each pool have been listed lately. While only one version of a pool has been listed for longer
 * than a stream can last, that version has begun every stream of the pool, and nobody needs to remember it.
 *
 * A router knows only what was listed since it started. Routers tell each other how far back they know, so that this
 * knowledge outlives each single one of them; only the loss of all routers at once loses it.
 */
import { LRUCache } from 'lru-cache';
import type { Endpoint } from './endpoint.ts';

/**
 * Longest time between two confirmations of the list of endpoints, in ms, in which no endpoint can have come, begun
 * a stream and gone unseen.
 */
const MAX_GAP_MS = 3_000;

/** Most versions that are remembered after their last endpoint has gone, as a bound on faulty entries. */
const MAX_DEPARTED_VERSIONS = 1_000;

/** Most departed versions in a report, so that it fits into a datagram. */
const MAX_TOLD_VERSIONS = 100;

/** Time for which a departed version is told, and furthest that a history reaches back, in ms. */
const MAX_REACH_MS = 3_600_000;

/**
 * Least difference in ms by which the departure that another router tells must be later than the one known here.
 * Reports arrive late, so that routers would otherwise move it on by telling it to each other.
 */
const MIN_DEPARTURE_CHANGE_MS = 1_000;

/** A version of which an endpoint has gone, and the time since, in ms. An empty version is an unreadable one. */
export type DepartedVersionEntry = [pool: string, version: string, ageMs: number];

/** What a router tells others of its history. */
export interface VersionHistoryReport {
  /** Time for which the sender knows all versions that were listed, in ms; missing if that isn't long. */
  versionsKnownMs?: number | undefined;
  /**
   * Versions that were listed in that time. Those that are listed now are told only where they aren't the only one of
   * their pool, with the age 0: a router that hasn't seen them yet must not take another one for the only one.
   */
  departedVersions?: DepartedVersionEntry[] | undefined;
}

/** What is asked of a history. */
export interface OnlyVersionQuery {
  pool: string;
  /** The endpoints that are listed now, of all pools. */
  endpoints: Iterable<Endpoint>;
  /** Time for which no other version may have been listed, in ms. */
  horizonMs: number;
  /** Largest age of the list of endpoints, in ms. */
  maxListAgeMs: number;
  now: number;
}

/** Options of a `VersionHistory`. */
export interface VersionHistoryOptions {
  /** The whole system starts for the first time, so nothing was listed before. */
  isFirstStart: boolean;
}

/** The versions that were listed, as far back as this router knows. */
export class VersionHistory {
  private readonly isFirstStart: boolean;
  /** Monotonic time since which all listed versions are known, in ms; infinite if none are. */
  private knownSince = Number.POSITIVE_INFINITY;
  /** Monotonic time of the latest confirmation of the list, in ms. */
  private confirmedAt: number | undefined;
  /** Monotonic time at which an endpoint of the version was last listed, in ms, by pool and version. */
  private readonly departedAt = new LRUCache<string, number>({ max: MAX_DEPARTED_VERSIONS });

  constructor({ isFirstStart }: VersionHistoryOptions) {
    this.isFirstStart = isFirstStart;
  }

  /**
   * Records that the list of endpoints was complete at monotonic time `at`. `isContinuous` tells that all changes
   * since the previous confirmation were applied one by one. Returns whether the history begins with this list: nothing
   * is known of what was listed before.
   */
  confirm(at: number, isContinuous: boolean): boolean {
    const { confirmedAt } = this;
    const isBegin =
      confirmedAt === undefined
        ? !this.isFirstStart
        : !isContinuous && at - confirmedAt > MAX_GAP_MS;
    if (isBegin) this.knownSince = at;
    else if (confirmedAt === undefined) this.knownSince = -Infinity;
    this.confirmedAt = Math.max(confirmedAt ?? at, at);
    return isBegin;
  }

  /** Records that an endpoint is no longer listed. */
  recordDeparted({ pool, version }: Endpoint, now: number): void {
    this.departedAt.set(toKey(pool, version ?? ''), now);
  }

  /** Forgets how far back the history reaches: the host was suspended, and versions may have come and gone. */
  reset(now: number): void {
    this.knownSince = now;
  }

  /** The only version of a pool that was listed within the horizon; undefined if there were more, or may have been. */
  findOnlyVersion(query: OnlyVersionQuery): string | undefined {
    const { pool, endpoints, horizonMs, maxListAgeMs, now } = query;
    if (this.confirmedAt === undefined || now - this.confirmedAt > maxListAgeMs) return undefined;
    if (now - this.knownSince < horizonMs) return undefined;
    const versions = this.departedSince(pool, now - horizonMs);
    for (const endpoint of endpoints) {
      if (endpoint.pool === pool) versions.add(endpoint.version ?? '');
    }
    const [only] = versions;
    return versions.size === 1 && only !== '' ? only : undefined;
  }

  /**
   * The report to other routers. It is empty while more versions have departed than fit into it: who knew only some
   * of them would take another one for the only one.
   */
  buildReport(endpoints: Iterable<Endpoint>, now: number): VersionHistoryReport {
    const ages = new Map<string, number>();
    for (const [key, at] of this.departedAt.entries()) {
      const ageMs = Math.round(now - at);
      if (ageMs <= MAX_REACH_MS) ages.set(key, ageMs);
    }
    for (const key of this.listOneOfSeveral(endpoints, ages.keys())) ages.set(key, 0);
    const departed = [...ages].map(([key, ageMs]): DepartedVersionEntry => [
      ...fromKey(key),
      ageMs,
    ]);
    if (departed.length > MAX_TOLD_VERSIONS) return {};
    const knownMs = Math.floor(Math.min(now - this.knownSince, MAX_REACH_MS));
    return {
      ...(knownMs > 0 ? { versionsKnownMs: knownMs } : {}),
      ...(departed.length > 0 ? { departedVersions: departed } : {}),
    };
  }

  /** Adds what another router knows. */
  applyReport({ versionsKnownMs, departedVersions = [] }: VersionHistoryReport, now: number): void {
    for (const [pool, version, ageMs] of departedVersions) {
      const key = toKey(pool, version);
      const at = now - ageMs;
      const isNews = at > (this.departedAt.get(key) ?? -Infinity) + MIN_DEPARTURE_CHANGE_MS;
      if (isNews) this.departedAt.set(key, at);
    }
    if (versionsKnownMs === undefined || this.confirmedAt === undefined) return;
    this.knownSince = Math.min(this.knownSince, now - versionsKnownMs);
  }

  /** Keys of the listed versions that aren't the only one of their pool, departed ones included. */
  private listOneOfSeveral(endpoints: Iterable<Endpoint>, departed: Iterable<string>): string[] {
    const listed = new Map<string, Set<string>>();
    for (const { pool, version = '' } of endpoints) {
      const versions = listed.get(pool);
      if (versions === undefined) listed.set(pool, new Set([version]));
      else versions.add(version);
    }
    const departedPairs = [...departed].map(fromKey);
    return [...listed].flatMap(([pool, versions]) => {
      const hasOther = departedPairs.some(
        ([departedPool, version]) => departedPool === pool && !versions.has(version),
      );
      return versions.size > 1 || hasOther ? [...versions].map((each) => toKey(pool, each)) : [];
    });
  }

  private departedSince(pool: string, since: number): Set<string> {
    const versions = new Set<string>();
    for (const [key, at] of this.departedAt.entries()) {
      const [departedPool, version] = fromKey(key);
      if (departedPool === pool && at >= since) versions.add(version);
    }
    return versions;
  }
}

function toKey(pool: string, version: string): string {
  return `${pool}\u0000${version}`;
}

function fromKey(key: string): [pool: string, version: string] {
  const [pool = '', version = ''] = key.split('\u0000');
  return [pool, version];
}
