/**
 * Routing table of a fleet that forwards requests directly to endpoints. A request's host and longest
 * matching path prefix select its route and pool, and its key identifies its workspace. This module holds
 * plain data and pure lookups.
 */
import murmurhash from 'murmurhash';
import type { CacheTransfer } from './prompt-transfer.ts';
import type { AllowedRegions } from './region-policy.ts';

/** How often a request may run, which limits its retries. */
export enum CallKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  AtMostOnce = 'once',
  /** Responds with a stream of numbered events. Runs at most once unless the route is resumable. */
  Stream = 'stream',
}

/** A pool of a route and its share of the requests. */
export interface RouteTarget {
  pool: string;
  /** Weight relative to the other pools of the route. */
  weight: number;
}

/** Where requests to a host and path prefix are sent, with their time limits and retry rules. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  kind: CallKind;
  /** Longest time that a request may take, in ms; a caller may set a shorter deadline. */
  timeoutMs: number;
  /** Latency objective for the response, or for the first event of a stream, in ms. */
  objectiveMs: number;
  /** Objective for the longest pause between two events of a stream, in ms. */
  pauseMs: number;
  targets: readonly RouteTarget[];
  /** Maximum number of attempts per request that reach an endpoint. */
  maxAttempts: number;
  /** Requests need no key. */
  isPublic: boolean;
  /** An interrupted stream may resume at another endpoint after its last event. */
  isResumable: boolean;
  /** Regions that may see the requests of this route. */
  regions?: AllowedRegions;
}

/** Cache capacity of each endpoint of a model pool. */
export interface BatchCapacity {
  /** KV cache size in tokens, shared by running requests and cached prompt segments. */
  cacheTokens: number;
  /** How endpoints copy cached tokens from each other; undefined if they don't. */
  transfer?: CacheTransfer | undefined;
}

/** A group of interchangeable endpoints. */
export interface Pool {
  name: string;
  /** Maximum number of connections to one endpoint, from all routers together. */
  connectionLimit: number;
  /** Set for pools of model engines only. */
  batch?: BatchCapacity | undefined;
  /** Requests a second that a cold endpoint bears; undefined if its endpoints need no warm-up. */
  warmUpPerSecond?: number | undefined;
}

/** Size and time limits for requests of callers. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A workspace and its keys. */
export interface WorkspaceKeys {
  name: string;
  keys: readonly string[];
  /** Regions that may see the requests of this workspace. */
  regions?: AllowedRegions;
}

/** One version of the fleet's routing configuration. */
export interface RoutingTable {
  version: number;
  routes: readonly Route[];
  pools: readonly Pool[];
  limits: CallerLimits;
  /** Nominal capacity of all model endpoints together, in tokens per second; 0 if unknown. */
  tokensPerSecond: number;
  /** Undefined if callers need no keys. */
  workspaces?: readonly WorkspaceKeys[] | undefined;
}

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 0x1_0000_0000;

/** Indexes one routing table for lookups. */
export class RouteIndex {
  readonly table: RoutingTable;
  /** Names of the pools of model endpoints, whose requests have prompts. */
  readonly modelPools: readonly string[];
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly poolsByName = new Map<string, Pool>();
  private readonly shortestObjectives = new Map<string, number>();
  private readonly workspacesByKey = new Map<string, string>();
  private readonly regionsByWorkspace = new Map<string, AllowedRegions>();

  constructor(table: RoutingTable) {
    this.table = table;
    this.modelPools = table.pools
      .filter(({ batch }) => batch !== undefined)
      .map(({ name }) => name);
    for (const route of table.routes) {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const { objectiveMs, targets } of table.routes) {
      for (const { pool } of targets) {
        const shortest = this.shortestObjectives.get(pool) ?? Number.POSITIVE_INFINITY;
        this.shortestObjectives.set(pool, Math.min(shortest, objectiveMs));
      }
    }
    for (const pool of table.pools) this.poolsByName.set(pool.name, pool);
    for (const { name, keys, regions } of table.workspaces ?? []) {
      if (regions !== undefined) this.regionsByWorkspace.set(name, regions);
      for (const key of keys) this.workspacesByKey.set(key, name);
    }
  }

  /**
   * Finds the route of `host` with the longest prefix of `path`. Host names are compared without case, and
   * without a port unless a route specifies it.
   */
  findRoute(host: string, path: string): Route | undefined {
    const hostName = host.toLowerCase();
    const routes =
      this.routesByHost.get(hostName) ?? this.routesByHost.get(hostName.replace(/:\d+$/, '')) ?? [];
    return routes.find((route) => path.startsWith(route.prefix));
  }

  /** Shortest latency objective of the routes to a pool, in ms; undefined if there are none. */
  shortestObjectiveMs(pool: string): number | undefined {
    return this.shortestObjectives.get(pool);
  }

  findPool(name: string): Pool | undefined {
    return this.poolsByName.get(name);
  }

  /** Finds the workspace to which `key` belongs. */
  findWorkspace(key: string): string | undefined {
    return this.workspacesByKey.get(key);
  }

  hasWorkspace(name: string): boolean {
    return this.table.workspaces?.some((workspace) => workspace.name === name) ?? false;
  }

  /** Regions that may see the requests of a workspace. */
  findRegions(workspace: string | undefined): AllowedRegions {
    return workspace === undefined ? undefined : this.regionsByWorkspace.get(workspace);
  }

  /** True if requests on `route` need a key. */
  requiresKey(route: Route): boolean {
    return this.table.workspaces !== undefined && !route.isPublic;
  }
}

/** Whether a stream of a route may go on at another endpoint. */
export function isResumableStream({ kind, isResumable }: Route): boolean {
  return kind === CallKind.Stream && isResumable;
}

/** Whether requests of a route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === CallKind.Idempotent || isResumableStream(route);
}

/** Selects the pool of a request by weight. The same request id always selects the same pool. */
export function selectPool(route: Route, requestId: string): string | undefined {
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = (murmurhash.v3(requestId) / HASH_RANGE) * totalWeight;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool;
}
