/**
 * Keeps this router's requests to cold endpoints within its part of what they bear, and logs when endpoints turn
 * cold and warm. The rate is that of the pool; which routers share it follows from the list of all routers.
 */
import { warmUpGapMs } from '@poplarpick/decisions';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { EndpointDirectory, EndpointRecord } from './endpoint-directory.ts';

/** Time after its start in which a router doesn't know all others yet and sends nothing to cold endpoints, in ms. */
const DISCOVERY_MS = 2_000;

/**
 * Time for which an endpoint of a data centre that was taken back is treated as cold, in ms: its entry says within
 * this time whether it is.
 */
const RETURN_CAUTION_MS = 2_500;

/** Options of a `WarmUpTracker`. */
export interface WarmUpTrackerOptions {
  clock: Clock;
  log: Logger;
  /** Address of this router, as the others know it. */
  address: string;
  endpoints: Pick<EndpointDirectory, 'all'>;
  /** Requests a second that a cold endpoint of a pool bears; undefined if the pool has no warm-up. */
  ratePerSecond: (pool: string) => number | undefined;
  /** Addresses of the routers of a data centre, this one and silent ones included; all if it is undefined. */
  routersOf: (dataCentre?: string) => readonly string[];
}

/** Tracks the endpoints that are cold. */
export class WarmUpTracker {
  private readonly options: WarmUpTrackerOptions;
  private readonly startedAt: number;
  /** Endpoints that were cold when they were last looked at. */
  private readonly cold = new Set<EndpointRecord>();

  constructor(options: WarmUpTrackerOptions) {
    this.options = options;
    this.startedAt = options.clock.monotonic();
  }

  /** Number of endpoints that are cold. */
  get coldCount(): number {
    return this.cold.size;
  }

  /** Records what the endpoint's entry says. */
  recordEntry(record: EndpointRecord): void {
    const { warmUpMs = 0 } = record.endpoint;
    record.warmUp.recordAnnounced(warmUpMs, this.now());
    this.update(record, 'entry');
  }

  /** Records that the endpoints of a data centre may get requests again and may be cold. */
  recordReturned(dataCentre: string): void {
    for (const record of this.options.endpoints.all()) {
      if (record.endpoint.dataCentre !== dataCentre || this.rateOf(record) === undefined) continue;
      record.warmUp.recordCaution(RETURN_CAUTION_MS, this.now());
      this.update(record, 'returned');
    }
  }

  /** Whether the endpoint is cold and its pool says what a cold one bears. */
  isCold(record: EndpointRecord): boolean {
    return record.warmUp.isCold(this.now()) && this.rateOf(record) !== undefined;
  }

  /** Whether this router may send the endpoint no request now. */
  isHeld(record: EndpointRecord): boolean {
    if (!this.isCold(record)) return false;
    return !record.warmUp.takesRequest(this.gapMs(record), this.now());
  }

  /** Records a request that is sent. */
  recordSent(record: EndpointRecord): void {
    record.warmUp.recordSent(this.now());
  }

  /** Notes which warm-ups have ended; called before each report. */
  refresh(): void {
    for (const record of this.cold) this.update(record, 'time');
  }

  /** Forgets an endpoint that is gone. */
  remove(record: EndpointRecord): void {
    this.cold.delete(record);
  }

  private update(record: EndpointRecord, source: string): void {
    const isCold = this.isCold(record);
    if (isCold === this.cold.has(record)) return;
    if (isCold) this.cold.add(record);
    else this.cold.delete(record);
    const { id, pool, dataCentre, warmUpMs } = record.endpoint;
    this.options.log.info({
      event: isCold ? 'endpoint.cold' : 'endpoint.warm',
      endpoint: id,
      pool,
      data_centre: dataCentre,
      source,
      announced_ms: warmUpMs,
    });
  }

  private gapMs(record: EndpointRecord): number | undefined {
    const { routersOf, address } = this.options;
    if (this.now() - this.startedAt < DISCOVERY_MS) return undefined;
    const nearby = routersOf(record.endpoint.dataCentre);
    return warmUpGapMs({
      incarnation: record.incarnation,
      perSecond: this.rateOf(record) ?? 0,
      router: address,
      routers: nearby.length > 0 ? nearby : routersOf(),
    });
  }

  private rateOf({ endpoint }: EndpointRecord): number | undefined {
    return this.options.ratePerSecond(endpoint.pool);
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
