/**
 * Routes of a fleet that forwards to endpoints directly: which pool serves a request, by host and
 * longest path prefix, and which workspace sends it, by key. Plain data and pure look-ups.
 */
import murmurhash from 'murmurhash';

/** What may be repeated. */
export enum CallKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  AtMostOnce = 'once',
  /** Answers with a stream of numbered events; may run once unless the route resumes streams. */
  Stream = 'stream',
}

/** One of the pools of a route. */
export interface RouteTarget {
  pool: string;
  weight: number;
}

/** Where requests of a host and path go, and how long they may take. */
export interface Route {
  name: string;
  host: string;
  prefix: string;
  kind: CallKind;
  /** Longest time that a caller may be kept waiting, in ms. */
  timeoutMs: number;
  /** Time within which an answer (of a stream: its first event) is on time, in ms. */
  objectiveMs: number;
  /** Longest pause between two events that is still on time, in ms. */
  pauseMs: number;
  targets: readonly RouteTarget[];
  /** Most endpoints on which one request may run. */
  maxAttempts: number;
  /** Needs no key. */
  isPublic: boolean;
  /** A stream may go on at another endpoint after its last event. */
  isResumable: boolean;
}

/** What an endpoint of a model pool can hold. */
export interface BatchCapacity {
  /** Tokens that running requests and kept prompt parts share. */
  cacheTokens: number;
}

/** A group of endpoints that serve the same. */
export interface Pool {
  name: string;
  /** Most connections to one endpoint, from all routers together. */
  connectionLimit: number;
  /** Present for pools of model engines. */
  batch?: BatchCapacity | undefined;
}

/** Bounds on what callers may send. */
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
}

/** One version of the fleet's routes. */
export interface RoutingTable {
  version: number;
  routes: readonly Route[];
  pools: readonly Pool[];
  limits: CallerLimits;
  /** Tokens a second that all model endpoints produce together; 0 where unknown. */
  tokensPerSecond: number;
  /** Undefined where callers need no keys. */
  workspaces?: readonly WorkspaceKeys[] | undefined;
}

const HASH_RANGE = 0x1_0000_0000;

/** Look-ups in one routing table. */
export class RouteIndex {
  readonly table: RoutingTable;
  private readonly byHost = new Map<string, Route[]>();
  private readonly pools = new Map<string, Pool>();
  private readonly workspaces = new Map<string, string>();

  constructor(table: RoutingTable) {
    this.table = table;
    for (const route of table.routes) {
      const host = route.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const pool of table.pools) this.pools.set(pool.name, pool);
    for (const { name, keys } of table.workspaces ?? []) {
      for (const key of keys) this.workspaces.set(key, name);
    }
  }

  /** The route with the longest prefix of `path` among those of `host`. */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase();
    const routes = this.byHost.get(name) ?? this.byHost.get(name.replace(/:\d+$/, '')) ?? [];
    return routes.find((route) => path.startsWith(route.prefix));
  }

  findPool(name: string): Pool | undefined {
    return this.pools.get(name);
  }

  /** The workspace that holds `key`. */
  findWorkspace(key: string): string | undefined {
    return this.workspaces.get(key);
  }

  /** True where requests on `route` must show a key. */
  requiresKey(route: Route): boolean {
    return this.table.workspaces !== undefined && !route.isPublic;
  }
}

/** The pool that a request goes to: by weight, and the same for the same request id. */
export function selectPool(route: Route, requestId: string): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let point = (murmurhash.v3(requestId) / HASH_RANGE) * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.pool;
  }
  return route.targets.at(-1)?.pool;
}
