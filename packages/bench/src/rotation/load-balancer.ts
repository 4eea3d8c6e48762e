/**
 * A load balancer as the users' platform has it: it asks each router once a second whether it is ready, gives each new
 * connection to a router of the caller's data centre, and to those of the other data centres where none is in rotation.
 */

/** A router behind the load balancer. */
export interface BalancedRouter {
  readonly dataCentre: string;
  isReady(): boolean;
}

/** Period of the readiness checks, in ms. */
const CHECK_PERIOD_MS = 1_000;

/** Failed checks in a row after which a router is out of rotation. */
const MISSES_ALLOWED = 2;

/** Part of a data centre's routers below which all of them are used. */
const LEAST_IN_ROTATION = 0.5;

/** Gives new connections to routers. */
export class LoadBalancer<Router extends BalancedRouter> {
  private readonly misses = new Map<Router, number>();
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly routers: readonly Router[]) {}

  /** Checks the routers if a check is due. */
  check(now: number): void {
    if (now - this.checkedAt < CHECK_PERIOD_MS) return;
    this.checkedAt = now;
    for (const router of this.routers) {
      const misses = router.isReady() ? 0 : (this.misses.get(router) ?? 0) + 1;
      this.misses.set(router, misses);
    }
  }

  /** The router that gets a new connection of a caller with this hash. */
  select(dataCentre: string, hash: number): Router {
    const candidates = this.candidates(dataCentre);
    const router = candidates[hash % candidates.length];
    if (router === undefined) throw new Error('there are no routers');
    return router;
  }

  private candidates(dataCentre: string): readonly Router[] {
    const own = this.routers.filter((router) => router.dataCentre === dataCentre);
    const ready = own.filter((router) => this.isInRotation(router));
    if (ready.length >= own.length * LEAST_IN_ROTATION) return ready;
    if (ready.length > 0) return own;
    const elsewhere = this.routers.filter((router) => this.isInRotation(router));
    return elsewhere.length > 0 ? elsewhere : own;
  }

  private isInRotation(router: Router): boolean {
    return (this.misses.get(router) ?? 0) < MISSES_ALLOWED;
  }
}
