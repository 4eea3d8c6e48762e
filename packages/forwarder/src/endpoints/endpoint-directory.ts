/**
 * The known endpoints with their connections and load. An endpoint that drains gets no new requests but
 * finishes the running ones. An endpoint that restarts under the same id is a new incarnation: its caches
 * are empty, and requests of the old incarnation are lost.
 */
import murmurhash from 'murmurhash';
import { EndpointLoad, incarnationOf } from '@poplarpick/decisions';
import type { Endpoint } from '@poplarpick/decisions';
import type { Logger } from '@poplarpick/kernel';
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
  /** The endpoint gets no new requests. */
  isDraining: boolean;
}

/** Options of an `EndpointDirectory`. */
export interface EndpointDirectoryOptions {
  log: Logger;
  /** Creates the connection pool for an endpoint. */
  createClient: (endpoint: Endpoint) => EndpointClient;
  /** Called when an incarnation was removed or replaced. */
  onRemoved: (record: EndpointRecord) => void;
}

/** Stores the known endpoints by id. */
export class EndpointDirectory {
  private readonly options: EndpointDirectoryOptions;
  private readonly records = new Map<string, EndpointRecord>();

  constructor(options: EndpointDirectoryOptions) {
    this.options = options;
  }

  /** Adds or updates an endpoint; replaces the record if its incarnation has changed. */
  update(endpoint: Endpoint): void {
    const existing = this.records.get(endpoint.id);
    const incarnation = incarnationOf(endpoint);
    if (existing?.incarnation === incarnation) {
      this.refresh(existing, endpoint);
      return;
    }
    if (existing !== undefined) this.replace(existing);
    const record: EndpointRecord = {
      endpoint,
      incarnation,
      incarnationHash: murmurhash.v3(incarnation),
      client: this.options.createClient(endpoint),
      load: new EndpointLoad(),
      isDraining: endpoint.isDraining,
    };
    this.records.set(endpoint.id, record);
    this.log('endpoint.seen', record);
  }

  /** Removes an endpoint: it gets no new requests, and the running ones may finish. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.delete(id);
    record.isDraining = true;
    record.client.close();
    this.log('endpoint.gone', record);
    this.options.onRemoved(record);
  }

  /** Endpoints of a pool that accept new requests. */
  findAvailable(pool: string): EndpointRecord[] {
    return [...this.records.values()].filter(
      (record) => record.endpoint.pool === pool && !record.isDraining,
    );
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
  }

  /** Updates the record of a known incarnation; one that drains doesn't become available again. */
  private refresh(record: EndpointRecord, endpoint: Endpoint): void {
    record.endpoint = endpoint;
    if (!endpoint.isDraining || record.isDraining) return;
    record.isDraining = true;
    this.log('endpoint.draining', record);
  }

  private replace(record: EndpointRecord): void {
    this.log('endpoint.restarted', record);
    record.isDraining = true;
    record.client.destroy();
    this.options.onRemoved(record);
  }

  private log(event: string, { endpoint }: EndpointRecord): void {
    this.options.log.info({
      event,
      endpoint: endpoint.id,
      pool: endpoint.pool,
      address: endpoint.address,
      data_centre: endpoint.dataCentre,
    });
  }
}
