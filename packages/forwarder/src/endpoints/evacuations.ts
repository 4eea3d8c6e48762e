/**
 * The data centres that operators have evacuated: their endpoints get no new requests until they are taken back;
 * the running ones finish. The store says which, and routers tell each other with the list of endpoints. While the
 * store is away, the last known state holds.
 */
import type { Logger } from '@poplarpick/kernel';

/** Options of `Evacuations`. */
export interface EvacuationsOptions {
  log: Logger;
  /** Number of known endpoints in a data centre. */
  countEndpoints: (dataCentre: string) => number;
  /** Called when a data centre has been taken back. */
  onReturned: (dataCentre: string) => void;
}

/** Stores the names of the evacuated data centres. */
export class Evacuations {
  private readonly options: EvacuationsOptions;
  private readonly names = new Set<string>();

  constructor(options: EvacuationsOptions) {
    this.options = options;
  }

  /** Number of evacuated data centres. */
  get count(): number {
    return this.names.size;
  }

  has(dataCentre: string): boolean {
    return this.names.has(dataCentre);
  }

  list(): string[] {
    return [...this.names].sort();
  }

  begin(dataCentre: string): void {
    if (this.names.has(dataCentre)) return;
    this.names.add(dataCentre);
    const { log, countEndpoints } = this.options;
    const endpoints = countEndpoints(dataCentre);
    const line = { event: 'data_centre.evacuated', data_centre: dataCentre, endpoints };
    if (endpoints === 0) log.warn({ ...line, reason: 'it has no known endpoints' });
    else log.info(line);
  }

  end(dataCentre: string): void {
    if (!this.names.delete(dataCentre)) return;
    const { log, onReturned, countEndpoints } = this.options;
    const endpoints = countEndpoints(dataCentre);
    log.info({ event: 'data_centre.returned', data_centre: dataCentre, endpoints });
    onReturned(dataCentre);
  }

  /** Applies a complete list. */
  replaceAll(dataCentres: readonly string[]): void {
    const listed = new Set(dataCentres);
    for (const name of this.list()) {
      if (!listed.has(name)) this.end(name);
    }
    for (const name of dataCentres) this.begin(name);
  }
}
