/**
 * What a process knows of the host list: it reads the list in a period that grows with the number of
 * hosts, so that the whole fleet reads it a bounded number of times a second, and tells its listeners
 * of changes. While the list cannot be read, the last one holds.
 */
import { describeError, Role } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { HostState, fetchHosts } from './host-list-client.ts';
import type { Host } from './host-list-client.ts';

/** Shortest time between two reads by one process. */
const MIN_PERIOD_MS = 1_000;

/** Reads a second that the whole fleet makes at most, once it is large. */
const MAX_FLEET_READS_PER_SECOND = 500;

/** Part of the period by which a read may come earlier or later. */
const JITTER_FRACTION = 0.2;

const SECOND_MS = 1_000;

type HostsListener = (hosts: readonly Host[]) => void;

/** Options of a `HostDirectory`. */
export interface HostDirectoryOptions {
  /** Base URL of the list of hosts. */
  url: string;
  clock: Clock;
  log: Logger;
  /** Random number in [0, 1) for jitter. */
  random?: () => number;
}

/** Follows the host list. */
export class HostDirectory {
  private readonly options: HostDirectoryOptions;
  private readonly listeners: HostsListener[] = [];
  private currentHosts: readonly Host[] = [];
  private currentJson = '';
  private timer: Timer | undefined;
  private stopped = false;
  private loaded = false;

  constructor(options: HostDirectoryOptions) {
    this.options = options;
  }

  /** The hosts as last read. */
  get hosts(): readonly Host[] {
    return this.currentHosts;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Calls `listener` at every change, and now if the list has been read. */
  onChange(listener: HostsListener): void {
    this.listeners.push(listener);
    if (this.loaded) listener(this.currentHosts);
  }

  /** Reads the list now and from then on periodically. */
  start(): void {
    void this.poll();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.stop();
  }

  private async poll(): Promise<void> {
    try {
      this.update(await fetchHosts(this.options.url));
    } catch (error) {
      this.options.log.warn({ event: 'host_list.unavailable', error: describeError(error) });
    }
    if (this.stopped) return;
    const random = this.options.random ?? Math.random;
    const delay =
      computeReadPeriodMs(this.currentHosts.length) * (1 + JITTER_FRACTION * (2 * random() - 1));
    this.timer = this.options.clock.after(delay, () => void this.poll());
  }

  private update(hosts: readonly Host[]): void {
    const json = JSON.stringify(hosts);
    const isChanged = json !== this.currentJson || !this.loaded;
    this.loaded = true;
    if (!isChanged || this.stopped) return;
    this.currentJson = json;
    this.currentHosts = hosts;
    for (const listener of this.listeners) listener(hosts);
  }
}

/** Time between two reads of the list by one process in a fleet of `hosts`. */
export function computeReadPeriodMs(hosts: number): number {
  return Math.max(MIN_PERIOD_MS, (hosts * SECOND_MS) / MAX_FLEET_READS_PER_SECOND);
}

/** The routers of a list with an address for links, leaving ones included. */
export function listRouters(hosts: readonly Host[]): (Host & { address: string })[] {
  return hosts.flatMap((host) =>
    host.role === Role.Router && host.address !== undefined
      ? [{ ...host, address: host.address }]
      : [],
  );
}

/** The routers that are not leaving. */
export function listLiveRouters(hosts: readonly Host[]): (Host & { address: string })[] {
  return listRouters(hosts).filter((host) => host.state === HostState.Live);
}
