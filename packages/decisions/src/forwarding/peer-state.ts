/**
 * Knowledge of the store at second hand. Pattern: the store turns some hosts away and serves the
 * others, or a router starts while the store is away. Such a router asks a peer what it knows and when
 * that was last known to be the newest. What a peer tells counts only as far as it is fresher than what
 * the router knows itself, and never as fresher than the moment at which it was asked.
 */

/** What one router knows of the store, and how old that is. */
export interface StoreStateAge {
  /** Version of the routes; undefined before any is known. */
  version: number | undefined;
  /** Time since the routes were last known to be the newest, in ms. */
  routesAgeMs: number;
  /** Time since the list of endpoints was last known to be complete, in ms. */
  endpointsAgeMs: number;
}

/** What of a peer's knowledge is taken, with the times of its proofs on the own monotonic clock. */
export interface AcceptedPeerState {
  /** Undefined where the peer's routes prove nothing. */
  routesConfirmedAt: number | undefined;
  /** Undefined where the peer's list of endpoints is no newer. */
  endpointsConfirmedAt: number | undefined;
}

/** Share of the time for which a proof holds after which a peer is asked: the store answers sooner. */
const ASK_SHARE = 0.65;

/** Time between two questions, in ms: while they help, and at most while they don't. */
const ASK_PERIOD_MS = { usual: 300, most: 2_400 };

/** Whether a router whose proofs hold for `trustedMs` needs its peers' knowledge. */
export function needsPeerState(own: StoreStateAge, trustedMs: number): boolean {
  if (own.version === undefined) return true;
  return Math.max(own.routesAgeMs, own.endpointsAgeMs) > trustedMs * ASK_SHARE;
}

/** Time until the next question, after so many in a row that brought nothing, in ms. */
export function peerRequestDelayMs(unhelpful: number): number {
  return Math.min(ASK_PERIOD_MS.most, ASK_PERIOD_MS.usual * 2 ** Math.min(unhelpful, 10));
}

/** What to take of what a peer told when it was asked at `askedAt`; `now` is when it was read. */
export function selectFresherState(
  own: StoreStateAge,
  told: StoreStateAge,
  askedAt: number,
  now: number,
): AcceptedPeerState {
  const routesProvenAt = askedAt - told.routesAgeMs;
  const endpointsProvenAt = askedAt - told.endpointsAgeMs;
  const isBehind = told.version === undefined || told.version < (own.version ?? told.version);
  return {
    routesConfirmedAt:
      isBehind || routesProvenAt <= now - own.routesAgeMs ? undefined : routesProvenAt,
    endpointsConfirmedAt:
      endpointsProvenAt <= now - own.endpointsAgeMs ? undefined : endpointsProvenAt,
  };
}
