/**
 * Fallback to a peer's copy of the store's state: its routes and its list of endpoints. The store may
 * refuse some hosts while it serves others, or be down when a router starts. Such a router requests a
 * peer's state and its staleness, and accepts only the parts that were confirmed more recently than its
 * own. Peer state never counts as fresher than the time at which it was requested, since the delay of the
 * response is unknown.
 *
 * Newer routes are accepted however old their confirmation is. A store that has returned from an older copy
 * confirms older routes to a router that starts then, while its peers still have the newer ones.
 */

/** Version and staleness of one router's copy of the store's state. */
export interface StoreStateAge {
  /** Version of the routes; undefined before the first routes are received. */
  version: number | undefined;
  /** Time since the routes were last confirmed as the latest version, in ms. */
  routesAgeMs: number;
  /** Time since the list of endpoints was last confirmed as complete, in ms. */
  endpointsAgeMs: number;
}

/** Age of the older part of a state, in ms. */
export function oldestAgeMs({ routesAgeMs, endpointsAgeMs }: StoreStateAge): number {
  return Math.max(routesAgeMs, endpointsAgeMs);
}

/** The parts of a peer's state to accept, with confirmation times on this router's monotonic clock. */
export interface AcceptedPeerState {
  /** Undefined if the peer's routes are an older version, or weren't confirmed more recently. */
  routesConfirmedAt: number | undefined;
  /** Undefined if the peer's list of endpoints wasn't confirmed more recently. */
  endpointsConfirmedAt: number | undefined;
}

/**
 * Age at which a router requests a peer's state, as a fraction of the maximum age. A reachable store
 * confirms the state before it gets this old.
 */
const REQUEST_AGE_FRACTION = 0.65;

/** Delay between requests to peers, in ms. It doubles with each unhelpful response, up to the maximum. */
const REQUEST_DELAY_MS = { initial: 300, max: 2_400 };

/** True if a router has no routes yet, or if its state is getting close to the age of `maxAgeMs`. */
export function needsPeerState(own: StoreStateAge, maxAgeMs: number): boolean {
  if (own.version === undefined) return true;
  return oldestAgeMs(own) > maxAgeMs * REQUEST_AGE_FRACTION;
}

/** Delay until the next request to a peer after a number of consecutive unhelpful responses, in ms. */
export function peerRequestDelayMs(unhelpfulResponses: number): number {
  return Math.min(
    REQUEST_DELAY_MS.max,
    REQUEST_DELAY_MS.initial * 2 ** Math.min(unhelpfulResponses, 10),
  );
}

/**
 * Selects the parts of a peer's state that are fresher than this router's own. `requestedAt` is the
 * monotonic time at which the peer was asked, and `now` the time at which its response was read.
 */
export function selectFresherState(
  own: StoreStateAge,
  peer: StoreStateAge,
  requestedAt: number,
  now: number,
): AcceptedPeerState {
  const peerRoutesConfirmedAt = requestedAt - peer.routesAgeMs;
  const peerEndpointsConfirmedAt = requestedAt - peer.endpointsAgeMs;
  return {
    routesConfirmedAt: areRoutesFresher(own, peer, peerRoutesConfirmedAt, now)
      ? peerRoutesConfirmedAt
      : undefined,
    endpointsConfirmedAt:
      peerEndpointsConfirmedAt <= now - own.endpointsAgeMs ? undefined : peerEndpointsConfirmedAt,
  };
}

/** True if the peer has a newer version of the routes, or has had the same version confirmed later. */
function areRoutesFresher(
  own: StoreStateAge,
  peer: StoreStateAge,
  peerRoutesConfirmedAt: number,
  now: number,
): boolean {
  if (peer.version === undefined) return false;
  if (own.version === undefined || peer.version > own.version) return true;
  return peer.version === own.version && peerRoutesConfirmedAt > now - own.routesAgeMs;
}
