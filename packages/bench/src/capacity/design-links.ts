/** Links of each role at the design size, counted from the decision that chooses them. */
import { selectNeighbours, selectRoutersForSidecar } from '@poplarpick/decisions';
import { DESIGN } from './design-size.ts';
import type { DesignLinks } from './projection.ts';

/** Sidecars whose links are counted; the choice is by hash, so a sample tells the mean of all. */
const SAMPLE_SIZE = 100;

/** Mean links of each role. */
export function computeDesignLinks(): DesignLinks {
  const routers = Array.from({ length: DESIGN.routers }, (_, index) => `entry-${index + 1}`);
  const linksOfSidecars = Array.from(
    { length: SAMPLE_SIZE },
    (_, index) => selectRoutersForSidecar(`host-of-engine-${index + 1}`, routers).size,
  );
  const linksOfRouters = routers
    .slice(0, SAMPLE_SIZE)
    .map((name) => selectNeighbours(name, routers).size);
  const routersOfSidecar = computeMean(linksOfSidecars);
  return {
    routersOfSidecar,
    sidecarsOfRouter: (routersOfSidecar * DESIGN.sidecars) / DESIGN.routers,
    routersOfRouter: computeMean(linksOfRouters),
  };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
