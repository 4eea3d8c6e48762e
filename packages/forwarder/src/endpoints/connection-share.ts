/** How many connections to one endpoint a router may have. */
import type { Pool } from '@poplarpick/decisions';

/** Fraction of an endpoint's connection limit that one router may use, since other routers connect too. */
const CONNECTION_FRACTION = 0.5;

/** Connection limit of an endpoint whose pool isn't in the routing table. */
const DEFAULT_CONNECTION_LIMIT = 64;

/** Most connections of this router to an endpoint of the pool; undefined if the pool isn't known. */
export function connectionShare(pool: Pick<Pool, 'connectionLimit'> | undefined): number {
  const limit = pool?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT;
  return Math.max(1, Math.floor(limit * CONNECTION_FRACTION));
}
