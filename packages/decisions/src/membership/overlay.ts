/**
 * Which processes keep links to which. Routers form several rings, each in the order of another hash
 * of their names; a router is linked to its two neighbours in every ring. The degree is constant, any
 * one ring already connects all routers, and their union has a diameter that grows with the logarithm
 * of the number of routers. A sidecar is linked to the routers that rank first for its name.
 */
import murmurhash from 'murmurhash';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Rings of routers; a router has at most two neighbours in each. */
export const OVERLAY_RINGS = 3;

/** Routers that a sidecar is linked to at least; in a fleet with no more routers it is linked to all. */
export const MIN_ROUTERS_PER_SIDECAR = 8;

/** Sidecars that a router should be linked to on average, so that none is left without any. */
export const TARGET_SIDECARS_PER_ROUTER = 24;

/** Most routers for a sidecar to be linked to, in a fleet of so many of both. */
export function computeRoutersPerSidecar(routers: number, sidecars: number): number {
  if (sidecars === 0) return Math.max(MIN_ROUTERS_PER_SIDECAR, routers);
  return Math.max(
    MIN_ROUTERS_PER_SIDECAR,
    Math.ceil((TARGET_SIDECARS_PER_ROUTER * routers) / sidecars),
  );
}

/** Routers to which the router `self` keeps links, among all known ones. */
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

/** Routers to which the sidecar on the host `self` keeps links. */
export function selectRoutersForSidecar(
  self: string,
  routers: readonly string[],
  limit = MIN_ROUTERS_PER_SIDECAR,
): Set<string> {
  if (routers.length <= limit) return new Set(routers);
  return new Set(rankByRendezvous(self, routers).slice(0, limit));
}

/** The names right after and right before `self` on a ring that holds at least one other name. */
function findRingNeighbours(
  self: string,
  others: readonly string[],
  ring: number,
): { next: string; previous: string } {
  const own = { name: self, position: hashToRing(self, ring) };
  const nodes = others.map((name) => ({ name, position: hashToRing(name, ring) }));
  const after = nodes.filter((node) => compareRingNodes(node, own) > 0);
  const before = nodes.filter((node) => compareRingNodes(node, own) < 0);
  // The ring closes: past the last place comes the first.
  const next = (after.length > 0 ? after : nodes).reduce(pickLower);
  const previous = (before.length > 0 ? before : nodes).reduce(pickHigher);
  return { next: next.name, previous: previous.name };
}

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
