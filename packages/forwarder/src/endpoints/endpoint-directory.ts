/**
 * The endpoints that take or finish work, with their connections and what is known of their load. An
 * endpoint that leaves gets nothing new; what runs there runs on. One that starts anew under its old
 * name is another incarnation: it keeps nothing, and what ran before is lost.
 */
import { EndpointLoad, incarnationOf } from '@poplarpick/decisions';
import type { Endpoint } from '@poplarpick/decisions';
import type { Logger } from '@poplarpick/kernel';
import type { EndpointClient } from './endpoint-client.ts';

/** An endpoint with this router's view of it. */
export interface EndpointRecord {
  endpoint: Endpoint;
  /** Names its incarnation. */
  incarnation: string;
  client: EndpointClient;
  load: EndpointLoad;
  /** Takes no new requests. */
  isDraining: boolean;
}

/** Options of an `EndpointDirectory`. */
export interface EndpointDirectoryOptions {
  log: Logger;
  /** Makes the connections to an endpoint. */
  createClient: (endpoint: Endpoint) => EndpointClient;
  /** Called when an incarnation is gone for good. */
  onRemoved: (record: EndpointRecord) => void;
}

/** Knows the endpoints. */
export class EndpointDirectory {
  private readonly options: EndpointDirectoryOptions;
  private readonly records = new Map<string, EndpointRecord>();

  constructor(options: EndpointDirectoryOptions) {
    this.options = options;
  }

  /** Takes what an endpoint says of itself. */
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
      client: this.options.createClient(endpoint),
      load: new EndpointLoad(),
      isDraining: endpoint.isDraining,
    };
    this.records.set(endpoint.id, record);
    this.log('endpoint.seen', record);
  }

  /** Notes that an endpoint is gone from the list: it gets no new work and ends what it has. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.delete(id);
    record.isDraining = true;
    record.client.close();
    this.log('endpoint.gone', record);
    this.options.onRemoved(record);
  }

  /** Endpoints of a pool that take new requests. */
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

  /** What all endpoints say of themselves. */
  list(): Endpoint[] {
    return [...this.records.values()].map(({ endpoint }) => endpoint);
  }

  /** Takes a whole list: endpoints that are not on it are gone. */
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

  /** Closes all connections at once. */
  destroy(): void {
    for (const { client } of this.records.values()) client.destroy();
    this.records.clear();
  }

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
