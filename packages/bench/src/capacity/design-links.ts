/** Number of links of each role at the design size, from the functions that select links. */
import { selectNeighbours, selectRoutersForSidecar } from '@poplarpick/decisions';
import { DESIGN_SIZE } from './design-size.ts';
import type { DesignLinks } from './capacity-terms.ts';

/** Nodes of each role whose links are counted. Links are selected by hash, so a sample is representative. */
const SAMPLE_SIZE = 100;

/** Computes the mean number of links of each role. */
export function computeDesignLinks(): DesignLinks {
  const routers = Array.from({ length: DESIGN_SIZE.routers }, (_, index) => `entry-${index + 1}`);
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
    sidecarsOfRouter: (routersOfSidecar * DESIGN_SIZE.sidecars) / DESIGN_SIZE.routers,
    routersOfRouter: computeMean(linksOfRouters),
  };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
