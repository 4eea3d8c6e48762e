/** When routes last moved to other pools. A stream that began before stays a stream of the pool that began it. */
import type { Route, RoutingTable } from '@poplarpick/decisions';

interface KnownRoute {
  pools: string;
  /** Monotonic time of the latest move, in ms; negative infinity if none was seen. */
  movedAt: number;
}

/** Remembers the latest move of each route. */
export class RouteMoves {
  private known = new Map<string, KnownRoute>();

  /** Compares a routing table with the previous one. */
  recordTable({ routes }: RoutingTable, now: number): void {
    const isFirst = this.known.size === 0;
    const next = new Map<string, KnownRoute>();
    for (const route of routes) {
      const pools = poolsOf(route);
      const before = this.known.get(toKey(route));
      const hasStayed = isFirst || before?.pools === pools;
      const movedAt = hasStayed ? (before?.movedAt ?? Number.NEGATIVE_INFINITY) : now;
      next.set(toKey(route), { pools, movedAt });
    }
    this.known = next;
  }

  /** Whether a route has moved, or was added, since `since`. */
  hasMoved(route: Route, since: number): boolean {
    const movedAt = this.known.get(toKey(route))?.movedAt;
    return movedAt === undefined || movedAt >= since;
  }
}

function toKey({ host, prefix }: Route): string {
  return `${host}\u0000${prefix}`;
}

function poolsOf({ targets }: Route): string {
  return targets
    .map(({ pool }) => pool)
    .sort()
    .join(' ');
}
