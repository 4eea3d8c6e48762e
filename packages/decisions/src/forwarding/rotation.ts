/**
 * Decides whether an overloaded router may report that it isn't ready. Load balancers that find fewer than half of
 * a data centre's routers ready use all of them again, those that are stopped included; where none is ready, they
 * use other data centres.
 *
 * Load pattern: a data centre gets most of the load while its routers are restarted one after the other. If the
 * overloaded ones leave as well, callers are sent to routers that don't run.
 */

/** The routers of a data centre as one of them knows them. */
export interface Rotation {
  /** Known routers, this one and those that don't run included. */
  routers: number;
  /** Routers that are ready, without this one. */
  readyPeers: number;
}

/** Fewest routers at which a minority can be ready. */
const MIN_ROUTERS = 3;

/** Whether the data centre has enough ready routers without this one, or none at all. */
export function mayLeaveRotation({ routers, readyPeers }: Rotation): boolean {
  if (routers < MIN_ROUTERS || readyPeers === 0) return true;
  return readyPeers * 2 > routers;
}
