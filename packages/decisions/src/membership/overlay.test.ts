import { expect } from 'chai';
import fc from 'fast-check';
import {
  computeRoutersPerSidecar,
  OVERLAY_RINGS,
  selectNeighbours,
  selectRoutersForSidecar,
  MIN_ROUTERS_PER_SIDECAR,
} from './overlay.ts';

const DESIGN_ROUTERS = 940;

function nameRouters(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

function buildOverlay(routers: readonly string[]): Map<string, Set<string>> {
  return new Map(routers.map((name) => [name, selectNeighbours(name, routers)]));
}

/** Hops to each live router that is reachable from the first live one. */
function countHops(overlay: Map<string, Set<string>>, live: ReadonlySet<string>): number[] {
  const [start = ''] = live;
  const hops = new Map([[start, 0]]);
  const queue = [start];
  for (let name = queue.shift(); name !== undefined; name = queue.shift()) {
    for (const next of overlay.get(name) ?? []) {
      if (!live.has(next) || hops.has(next)) continue;
      hops.set(next, (hops.get(name) ?? 0) + 1);
      queue.push(next);
    }
  }
  return [...hops.values()];
}

describe('selectNeighbours', () => {
  const routers = nameRouters(DESIGN_ROUTERS);
  const large = buildOverlay(routers);

  it('is symmetric, bounded and connected for any names', () => {
    const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 40 });
    fc.assert(
      fc.property(names, (few) => {
        const overlay = buildOverlay(few);
        for (const [name, neighbours] of overlay) {
          expect(neighbours.size).to.be.at.most(2 * OVERLAY_RINGS);
          for (const neighbour of neighbours)
            expect(overlay.get(neighbour)?.has(name)).to.equal(true);
        }
        expect(countHops(overlay, new Set(few))).to.have.length(few.length);
      }),
      { seed: 6 },
    );
  });

  it('reaches every router of the design size within eight hops', () => {
    const hops = countHops(large, new Set(routers));
    expect(hops).to.have.length(DESIGN_ROUTERS);
    expect(Math.max(...hops)).to.be.at.most(8);
  });

  it('keeps the rest connected when a seventh of the routers is lost at once', () => {
    const live = new Set(routers.filter((_, index) => index % 7 !== 0));
    expect(countHops(large, live)).to.have.length(live.size);
  });

  it('changes few links when one router joins', () => {
    const before = buildOverlay(nameRouters(200));
    const after = buildOverlay(nameRouters(201));
    const moved = [...before].filter(([name, neighbours]) =>
      [...neighbours].some((neighbour) => after.get(name)?.has(neighbour) === false),
    );
    expect(moved.length).to.be.at.most(2 * OVERLAY_RINGS);
  });
});

describe('selectRoutersForSidecar', () => {
  it('selects all routers of a small fleet and a bounded, even share of a large one', () => {
    expect(selectRoutersForSidecar('host', nameRouters(3)).size).to.equal(3);
    const routers = nameRouters(DESIGN_ROUTERS);
    const links = new Map<string, number>();
    for (let index = 0; index < 3_300; index += 1) {
      const chosen = selectRoutersForSidecar(`sidecar-${index}`, routers);
      expect(chosen.size).to.equal(MIN_ROUTERS_PER_SIDECAR);
      for (const router of chosen) links.set(router, (links.get(router) ?? 0) + 1);
    }
    expect(links.size).to.equal(DESIGN_ROUTERS);
    expect(Math.max(...links.values())).to.be.at.most(80);
  });

  it('leaves no router without sidecars where there are more routers than sidecars', () => {
    const routers = nameRouters(64);
    const limit = computeRoutersPerSidecar(routers.length, 16);
    const linked = new Set<string>();
    for (let index = 0; index < 16; index += 1)
      selectRoutersForSidecar(`sidecar-${index}`, routers, limit).forEach((name) =>
        linked.add(name),
      );
    expect(linked.size).to.equal(routers.length);
    expect(computeRoutersPerSidecar(940, 3_300)).to.equal(MIN_ROUTERS_PER_SIDECAR);
  });
});
