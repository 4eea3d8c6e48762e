/** A route of streams that may be resumed, its table, and an endpoint of its pool, for tests. */
import { CallKind } from '@poplarpick/decisions';
import type { Endpoint, Route, RoutingTable } from '@poplarpick/decisions';

const POOL = 'p';

/** Creates a route to some pools; its timeout is 10 s. */
export function createRoute(name = 'r', pools = [POOL]): Route {
  return {
    name,
    host: 'h',
    prefix: `/${name}/`,
    kind: CallKind.Stream,
    timeoutMs: 10_000,
    objectiveMs: 500,
    pauseMs: 500,
    targets: pools.map((pool) => ({ pool, weight: 1 })),
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
  };
}

/** Creates a routing table. */
export function createTable(routes: Route[], version = 1): RoutingTable {
  return {
    version,
    routes,
    pools: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    tokensPerSecond: 0,
    workspaces: undefined,
  };
}

/** Creates an endpoint of the route's pool, which is named like its version. */
export function createEndpoint(version: string): Endpoint {
  return {
    id: version,
    startedAt: 0,
    pool: POOL,
    version,
    address: '10.0.0.1:80',
    dataCentre: 'z',
    slots: 8,
    isDraining: false,
  };
}
