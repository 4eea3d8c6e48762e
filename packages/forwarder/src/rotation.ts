/**
 * Decides whether a router should get new connections from the load balancer, and whether its callers should move
 * to other routers. A caller stays at its connection whatever the router says of itself, so a router that can't
 * serve it has to close the connection after a response.
 */
import type { Clock } from '@poplarpick/kernel';
import type { RouterState } from './router-state.ts';

/** Why a router should get no new connections. */
export enum RotationObstacle {
  Stopping = 'the router is stopping',
  NoRoutes = 'no routes are known yet',
  Overloaded = 'the router has too little processor time',
  StaleKeys = 'the keys may be out of date',
}

/** The parts of a router's state on which its place in the rotation depends. */
export type RotationState = Pick<
  RouterState,
  'stop' | 'routes' | 'eventLoop' | 'freshness' | 'peers'
> & { clock: Pick<Clock, 'monotonic'> };

/** Whether a router is in the rotation of the load balancer. */
export class Rotation {
  private readonly state: RotationState;

  constructor(state: RotationState) {
    this.state = state;
  }

  /** Why the router should get no new connections; undefined if it should. */
  get obstacle(): RotationObstacle | undefined {
    const { stop, routes, eventLoop } = this.state;
    if (stop.hasBegun) return RotationObstacle.Stopping;
    if (routes === undefined) return RotationObstacle.NoRoutes;
    if (eventLoop.isOverloaded) return RotationObstacle.Overloaded;
    return this.areKeysStale ? RotationObstacle.StaleKeys : undefined;
  }

  /** Whether connections should be closed after their response, so that callers move to other routers. */
  get shouldMoveCallers(): boolean {
    const { stop, eventLoop } = this.state;
    if (stop.hasBegun || eventLoop.shouldMoveCallers) return true;
    return this.areKeysStale && !this.arePeersStale();
  }

  private get areKeysStale(): boolean {
    const { freshness, clock } = this.state;
    return !freshness.isFresh(clock.monotonic());
  }

  /** Whether all peers that tell the age of their state can't confirm keys either. */
  private arePeersStale(): boolean {
    const { peers, freshness, clock } = this.state;
    const ages = peers
      .live(clock.monotonic())
      .flatMap(({ stateAgeMs }) => (stateAgeMs === undefined ? [] : [stateAgeMs]));
    return ages.length > 0 && ages.every((ageMs) => ageMs > freshness.maxAgeMs);
  }
}
