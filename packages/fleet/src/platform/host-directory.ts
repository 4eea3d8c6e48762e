/**
 * Local copy of the platform's host list. The polling period grows with the number of hosts, so that the
 * read rate of the whole fleet is bounded. Listeners are notified of changes. While the list cannot be
 * read, the last one stays in use.
 */
import { describeError, Role } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { HostState, fetchHosts } from './host-list-client.ts';
import type { Host, HostListing } from './host-list-client.ts';

/** Minimum polling period of one process. */
const MIN_PERIOD_MS = 1_000;

/** Maximum number of reads per second by the whole fleet; large fleets poll less often to respect it. */
const MAX_FLEET_READS_PER_SECOND = 500;

/** Random variation of the period, as a fraction of it in either direction. */
const JITTER_FRACTION = 0.2;

const SECOND_MS = 1_000;

type HostsListener = (hosts: readonly Host[]) => void;

/** Options of a `HostDirectory`. */
export interface HostDirectoryOptions {
  /** Base URL of the service that publishes the host list. */
  url: string;
  clock: Clock;
  log: Logger;
  /** Random number in [0, 1) for jitter. */
  random?: () => number;
}

/** Polls the host list and provides the last one. */
export class HostDirectory {
  private readonly options: HostDirectoryOptions;
  private readonly listeners: HostsListener[] = [];
  private currentHosts: readonly Host[] = [];
  private currentJson = '';
  private unreadableEntries = 0;
  private timer: Timer | undefined;
  private stopped = false;
  private loaded = false;

  constructor(options: HostDirectoryOptions) {
    this.options = options;
  }

  /** The hosts as last read; empty until the list has been loaded. */
  get hosts(): readonly Host[] {
    return this.currentHosts;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Calls `listener` after every change, and now if the list has been loaded. */
  onChange(listener: HostsListener): void {
    this.listeners.push(listener);
    if (this.loaded) listener(this.currentHosts);
  }

  /** Reads the list now and then periodically. */
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

  private update({ hosts, unreadable }: HostListing): void {
    this.logUnreadable(unreadable);
    const json = JSON.stringify(hosts);
    const isChanged = json !== this.currentJson || !this.loaded;
    this.loaded = true;
    if (!isChanged || this.stopped) return;
    this.currentJson = json;
    this.currentHosts = hosts;
    for (const listener of this.listeners) listener(hosts);
  }

  /** Logs how many entries can't be read, when that changes. */
  private logUnreadable(entries: number): void {
    if (entries === this.unreadableEntries) return;
    this.unreadableEntries = entries;
    this.options.log.warn({ event: 'host_list.unreadable_entries', entries });
  }
}

/** Polling period of one process in a fleet with this number of hosts, in milliseconds. */
export function computeReadPeriodMs(hosts: number): number {
  return Math.max(MIN_PERIOD_MS, (hosts * SECOND_MS) / MAX_FLEET_READS_PER_SECOND);
}

/** Routers that have an address for links, including those that are leaving. */
export function listRouters(hosts: readonly Host[]): (Host & { address: string })[] {
  return hosts.flatMap((host) =>
    host.role === Role.Router && host.address !== undefined
      ? [{ ...host, address: host.address }]
      : [],
  );
}

/** Routers that have an address for links and are not leaving. */
export function listLiveRouters(hosts: readonly Host[]): (Host & { address: string })[] {
  return listRouters(hosts).filter((host) => host.state === HostState.Live);
}
