/**
 * Decides which hosts this process dials: its overlay neighbours among the usable routers, and for a
 * limited time routers that membership needs to reach. It recomputes the targets when the host list or
 * the membership changes.
 */
import {
  computeRoutersPerSidecar,
  EndpointKind,
  rankLedgerShards,
  selectNeighbours,
  selectRoutersForSidecar,
} from '@poplarpick/decisions';
import { Role } from '@poplarpick/kernel';
import type { Clock, Timer } from '@poplarpick/kernel';
import { listLiveRouters } from '../platform/host-directory.ts';
import type { HostDirectory } from '../platform/host-directory.ts';
import type { DialTarget, LinkHub } from './link-hub.ts';

/** Period at which expired temporary targets and links that are no longer needed are dropped. */
const REFRESH_PERIOD_MS = 1_000;

/** Options of a `LinkPlanner`. */
export interface LinkPlannerOptions {
  role: Role;
  host: string;
  hub: LinkHub;
  directory: HostDirectory;
  clock: Clock;
}

/** Computes the dial targets and passes them to the link hub. */
export class LinkPlanner {
  private readonly options: LinkPlannerOptions;
  private readonly timer: Timer;
  /** Monotonic time at which each temporary target expires, by host. */
  private readonly temporaryTargets = new Map<string, number>();
  private isUsable: (host: string) => boolean = () => true;
  private targets: DialTarget[] = [];

  constructor(options: LinkPlannerOptions) {
    this.options = options;
    options.directory.onChange(() => this.replan());
    this.timer = options.clock.every(REFRESH_PERIOD_MS, () => this.refresh());
  }

  /** Number of hosts that are dialled as neighbours. */
  get neighbourCount(): number {
    return this.targets.length;
  }

  /** Live routers of the host list that membership considers usable, including this process. */
  listUsableRouters(): string[] {
    return listLiveRouters(this.options.directory.hosts)
      .map((router) => router.id)
      .filter((id) => id === this.options.host || this.isUsable(id));
  }

  /** Sets the check that decides which hosts are usable; by default all are. */
  setUsabilityCheck(isUsable: (host: string) => boolean): void {
    this.isUsable = isUsable;
    this.replan();
  }

  /** Dials a router for a limited time, whether or not it is a neighbour. */
  dialTemporarily(host: string, durationMs: number): void {
    this.temporaryTargets.set(host, this.options.clock.monotonic() + durationMs);
    this.applyTargets();
  }

  /** Recomputes the neighbours and updates the dial targets. */
  replan(): void {
    const { role, host, directory } = this.options;
    const routers = this.listUsableRouters();
    const selected =
      role === Role.Router ? selectNeighbours(host, routers) : this.selectForSidecar(routers);
    this.targets = listLiveRouters(directory.hosts)
      .filter((router) => selected.has(router.id))
      .map(({ id, address }) => ({ host: id, address }));
    this.applyTargets();
  }

  stop(): void {
    this.timer.stop();
  }

  /**
   * A sidecar dials enough routers that every router has sidecars to serve its queues, and the routers
   * that hold the ledger shards, which all sidecars must report to.
   */
  private selectForSidecar(routers: readonly string[]): Set<string> {
    const { host, directory } = this.options;
    const sidecars = directory.hosts.filter(({ role }) => role === Role.Sidecar).length;
    const limit = computeRoutersPerSidecar(routers.length, sidecars);
    const shards = Object.values(EndpointKind).flatMap((kind) => rankLedgerShards(kind, routers));
    return new Set([...selectRoutersForSidecar(host, routers, limit), ...shards]);
  }

  private refresh(): void {
    const now = this.options.clock.monotonic();
    for (const [host, expiresAt] of this.temporaryTargets) {
      if (now >= expiresAt) this.temporaryTargets.delete(host);
    }
    this.applyTargets();
  }

  private applyTargets(): void {
    const { hub, directory } = this.options;
    if (this.temporaryTargets.size === 0) {
      hub.setDialTargets(this.targets);
      return;
    }
    const extra = listLiveRouters(directory.hosts)
      .filter(({ id }) => this.temporaryTargets.has(id))
      .filter(({ id }) => !this.targets.some((target) => target.host === id))
      .map(({ id, address }) => ({ host: id, address }));
    hub.setDialTargets([...this.targets, ...extra]);
  }
}
