/**
 * The known endpoints with their connections and load. An endpoint that drains gets no new requests but
 * finishes the running ones. An endpoint that restarts under the same id is a new incarnation: its caches
 * are empty, and requests of the old incarnation are lost. It may have got requests before its entry was read; those
 * go on, and count in its load.
 */
import { LRUCache } from 'lru-cache';
import murmurhash from 'murmurhash';
import {
  DrainSource,
  EndpointAvailability,
  EndpointLimit,
  EndpointLoad,
  incarnationOf,
  MAX_PAUSE_MS,
  WarmUp,
} from '@poplarpick/decisions';
import type { Endpoint, PauseRequest } from '@poplarpick/decisions';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { EndpointClient } from './endpoint-client.ts';

/** An endpoint with this router's connections to it and load on it. */
export interface EndpointRecord {
  endpoint: Endpoint;
  /** Identifies the incarnation, see `incarnationOf`. */
  incarnation: string;
  /** Hash of the incarnation, which identifies it in the reports of routers. */
  incarnationHash: number;
  client: EndpointClient;
  load: EndpointLoad;
  availability: EndpointAvailability;
  /** The limit that the endpoint names, and this router's part of it. */
  limit: EndpointLimit;
  /** Whether the endpoint is cold. */
  warmUp: WarmUp;
}

/** What an endpoint says of itself. */
type EndpointNotices = Pick<EndpointRecord, 'availability' | 'limit' | 'warmUp'>;

/** Removed incarnations whose notices are kept, as a bound on the memory of a long-lived router. */
const MAX_REMOVED_INCARNATIONS = 1_000;

/** Options of an `EndpointDirectory`. */
export interface EndpointDirectoryOptions {
  clock: Clock;
  log: Logger;
  /** Returns numbers in [0, 1); `Math.random` by default. */
  random?: () => number;
  /** Creates the connection pool for an endpoint. */
  createClient: (endpoint: Endpoint) => EndpointClient;
  /** Whether the endpoints of a data centre get no new requests; by default all data centres get some. */
  isEvacuated?: (dataCentre: string) => boolean;
  /** Called with each entry that was applied. */
  onEntry?: (record: EndpointRecord) => void;
  /** Called when an incarnation was removed or replaced. */
  onRemoved: (record: EndpointRecord) => void;
  /** Called with an endpoint as it was when its entry names another version now. */
  onVersionChange?: (previous: Endpoint) => void;
  /** Called when a source says for the first time that an endpoint drains. */
  onDrain: (record: EndpointRecord, source: DrainSource) => void;
  /** Called when an endpoint begins a pause. */
  onPause: (record: EndpointRecord) => void;
}

/** Stores the known endpoints by id. */
export class EndpointDirectory {
  private readonly options: EndpointDirectoryOptions;
  private readonly records = new Map<string, EndpointRecord>();
  private readonly recordsByHash = new Map<number, EndpointRecord>();
  private changeCount = 0;
  /**
   * What removed incarnations have said of themselves. An entry that expires while the store is away may come
   * back, and it is still valid then.
   */
  private readonly removed = new LRUCache<string, EndpointNotices>({
    max: MAX_REMOVED_INCARNATIONS,
  });

  constructor(options: EndpointDirectoryOptions) {
    this.options = options;
  }

  /** Increases whenever the list of endpoints may have changed. */
  get changes(): number {
    return this.changeCount;
  }

  /** Adds or updates an endpoint; replaces the record if its incarnation has changed. */
  update(endpoint: Endpoint): void {
    this.changeCount += 1;
    const existing = this.records.get(endpoint.id);
    const incarnation = incarnationOf(endpoint);
    if (existing?.incarnation === incarnation) {
      this.refresh(existing, endpoint);
      return;
    }
    if (existing !== undefined) this.replace(existing, endpoint);
    const record: EndpointRecord = {
      endpoint,
      incarnation,
      incarnationHash: murmurhash.v3(incarnation),
      client: this.options.createClient(endpoint),
      load: existing?.load ?? new EndpointLoad(),
      ...(this.removed.get(incarnation) ?? this.createNotices()),
    };
    this.records.set(endpoint.id, record);
    this.recordsByHash.set(record.incarnationHash, record);
    this.log('endpoint.seen', record);
    this.options.onEntry?.(record);
    if (endpoint.isDraining) this.drain(record, DrainSource.Store);
  }

  /** Records that an endpoint drains. It gets no new requests, and its idle connections are closed. */
  drain(record: EndpointRecord, source: DrainSource): void {
    if (!record.availability.recordDrain(source)) return;
    record.client.close();
    this.log('endpoint.draining', record, { source });
    this.options.onDrain(record, source);
  }

  /** Records that an endpoint asked this router for a pause. */
  pause(record: EndpointRecord, { text, durationMs }: PauseRequest): void {
    if (durationMs === undefined) {
      this.log('endpoint.pause_unreadable', record, { asked: text });
      return;
    }
    if (!record.availability.recordPause(durationMs, this.now())) return;
    const isBounded = durationMs > MAX_PAUSE_MS;
    const pauseMs = Math.round(Math.min(durationMs, MAX_PAUSE_MS));
    this.log('endpoint.paused', record, {
      pause_ms: pauseMs,
      asked: isBounded ? text : undefined,
    });
    this.options.onPause(record);
  }

  /** Removes an endpoint: it gets no new requests, and the running ones may finish. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.forget(record);
    record.client.close();
    this.log('endpoint.gone', record);
    this.options.onRemoved(record);
  }

  /** Endpoints of a pool that accept new requests. */
  findAvailable(pool: string): EndpointRecord[] {
    const now = this.now();
    return [...this.records.values()].filter(
      (record) =>
        record.endpoint.pool === pool &&
        record.availability.takesRequests(now) &&
        !this.isEvacuated(record),
    );
  }

  /**
   * Time until a pool without available endpoints has one again because a pause ends, in ms; undefined if it
   * has one now, or if no pause is in progress. Only endpoints that `allows` selects count, by default all.
   */
  timeUntilAvailableMs(
    pool: string,
    allows: (endpoint: Endpoint) => boolean = () => true,
  ): number | undefined {
    const now = this.now();
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const record of this.records.values()) {
      const { endpoint, availability } = record;
      if (endpoint.pool !== pool || availability.isDraining || !allows(endpoint)) continue;
      if (this.isEvacuated(record)) continue;
      shortestMs = Math.min(shortestMs, availability.remainingPauseMs(now));
    }
    const isPaused = shortestMs > 0 && Number.isFinite(shortestMs);
    return isPaused ? shortestMs : undefined;
  }

  /** The incarnation with this hash, if it is known. */
  findByHash(incarnationHash: number): EndpointRecord | undefined {
    return this.recordsByHash.get(incarnationHash);
  }

  all(): Iterable<EndpointRecord> {
    return this.records.values();
  }

  find(id: string): EndpointRecord | undefined {
    return this.records.get(id);
  }

  /** The endpoints as they registered themselves. */
  list(): Endpoint[] {
    return [...this.records.values()].map(({ endpoint }) => endpoint);
  }

  /** Applies a complete list: removes the endpoints that it doesn't contain. */
  replaceAll(endpoints: readonly Endpoint[]): void {
    const listed = new Set(endpoints.map(({ id }) => id));
    for (const id of this.ids()) {
      if (!listed.has(id)) this.remove(id);
    }
    for (const endpoint of endpoints) this.update(endpoint);
  }

  ids(): string[] {
    return [...this.records.keys()];
  }

  /** Closes all connections immediately and removes all endpoints. */
  destroy(): void {
    for (const { client } of this.records.values()) client.destroy();
    this.records.clear();
    this.recordsByHash.clear();
  }

  /** Updates the record of a known incarnation; one that drains doesn't become available again. */
  private refresh(record: EndpointRecord, endpoint: Endpoint): void {
    const previous = record.endpoint;
    record.endpoint = endpoint;
    if (previous.version !== endpoint.version) this.options.onVersionChange?.(previous);
    this.options.onEntry?.(record);
    if (endpoint.isDraining) this.drain(record, DrainSource.Store);
  }

  /** Ends an incarnation whose entry names another start or another address now. */
  private replace(record: EndpointRecord, next: Endpoint): void {
    const { startedAt } = next;
    const wasKnown = this.removed.has(incarnationOf(next));
    this.forget(record);
    if (wasKnown || hasLostStart(record.endpoint, next)) {
      // Nothing tells that the process has ended: an entry of another writer came in between.
      record.client.close();
      this.log('endpoint.changed', record, { started_at: startedAt });
    } else {
      const { kept, doubtful } = record.client.retire(startedAt);
      this.log('endpoint.restarted', record, { started_at: startedAt, kept, doubtful });
    }
    record.load.recordReplaced();
    this.options.onRemoved(record);
  }

  private forget(record: EndpointRecord): void {
    this.changeCount += 1;
    this.records.delete(record.endpoint.id);
    this.recordsByHash.delete(record.incarnationHash);
    const { availability, limit, warmUp } = record;
    this.removed.set(record.incarnation, { availability, limit, warmUp });
  }

  private createNotices(): EndpointNotices {
    const { random } = this.options;
    return {
      availability: new EndpointAvailability(),
      limit: new EndpointLimit({ random }),
      warmUp: new WarmUp(),
    };
  }

  private isEvacuated({ endpoint }: EndpointRecord): boolean {
    return this.options.isEvacuated?.(endpoint.dataCentre) ?? false;
  }

  private now(): number {
    return this.options.clock.monotonic();
  }

  private log(
    event: string,
    { endpoint }: EndpointRecord,
    fields: Record<string, string | number | undefined> = {},
  ): void {
    this.options.log.info({
      event,
      endpoint: endpoint.id,
      pool: endpoint.pool,
      version: endpoint.version,
      address: endpoint.address,
      data_centre: endpoint.dataCentre,
      ...fields,
    });
  }
}

/** Whether an entry names no start any more, at the same address. */
function hasLostStart(previous: Endpoint, next: Endpoint): boolean {
  return previous.startedAt !== 0 && next.startedAt === 0 && previous.address === next.address;
}
