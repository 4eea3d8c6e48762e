/**
 * Topology of the overlay network: which processes maintain links to which others. Routers form several
 * rings, each ordered by a different hash of their names, and a router links to its two neighbours in
 * every ring. The degree is constant, any one ring connects all routers, and the union of the rings has
 * a diameter that grows with the logarithm of the number of routers. A sidecar links to the routers
 * that rank first for its host by rendezvous hashing.
 */
import murmurhash from 'murmurhash';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Number of rings; a router has at most two neighbours in each. */
export const OVERLAY_RINGS = 3;

/** Fewest routers that a sidecar links to; in a fleet with fewer routers it links to all of them. */
export const MIN_ROUTERS_PER_SIDECAR = 8;

/** Average number of sidecars per router to aim for, so that no router is left without sidecars. */
export const TARGET_SIDECARS_PER_ROUTER = 24;

/** Largest number of routers that a sidecar links to, in a fleet of `routers` and `sidecars`. */
export function computeRoutersPerSidecar(routers: number, sidecars: number): number {
  if (sidecars === 0) return Math.max(MIN_ROUTERS_PER_SIDECAR, routers);
  return Math.max(
    MIN_ROUTERS_PER_SIDECAR,
    Math.ceil((TARGET_SIDECARS_PER_ROUTER * routers) / sidecars),
  );
}

/** Selects the routers that the router `self` links to. */
export function selectNeighbours(
  self: string,
  routers: readonly string[],
  rings = OVERLAY_RINGS,
): Set<string> {
  const others = routers.filter((name) => name !== self);
  if (others.length <= 2 * rings) return new Set(others);
  const neighbours = new Set<string>();
  for (let ring = 0; ring < rings; ring += 1) {
    const { next, previous } = findRingNeighbours(self, others, ring);
    neighbours.add(next);
    neighbours.add(previous);
  }
  return neighbours;
}

/** Selects the routers that the sidecar on the host `self` links to, at most `limit`. */
export function selectRoutersForSidecar(
  self: string,
  routers: readonly string[],
  limit = MIN_ROUTERS_PER_SIDECAR,
): Set<string> {
  if (routers.length <= limit) return new Set(routers);
  return new Set(rankByRendezvous(self, routers).slice(0, limit));
}

/** The successor and predecessor of `self` on a ring with at least one other router. */
function findRingNeighbours(
  self: string,
  others: readonly string[],
  ring: number,
): { next: string; previous: string } {
  const own = { name: self, position: hashToRing(self, ring) };
  const nodes = others.map((name) => ({ name, position: hashToRing(name, ring) }));
  const after = nodes.filter((node) => compareRingNodes(node, own) > 0);
  const before = nodes.filter((node) => compareRingNodes(node, own) < 0);
  // The ring wraps around: the successor of the last node is the first one.
  const next = (after.length > 0 ? after : nodes).reduce(pickLower);
  const previous = (before.length > 0 ? before : nodes).reduce(pickHigher);
  return { next: next.name, previous: previous.name };
}

/** A router and its position on one ring. */
interface RingNode {
  name: string;
  position: number;
}

function pickLower(a: RingNode, b: RingNode): RingNode {
  return compareRingNodes(a, b) < 0 ? a : b;
}

function pickHigher(a: RingNode, b: RingNode): RingNode {
  return compareRingNodes(a, b) > 0 ? a : b;
}

function compareRingNodes(a: RingNode, b: RingNode): number {
  if (a.position !== b.position) return a.position - b.position;
  if (a.name === b.name) return 0;
  return a.name < b.name ? -1 : 1;
}

function hashToRing(name: string, ring: number): number {
  return murmurhash.v3(`${name}\u0000ring ${ring}`);
}
