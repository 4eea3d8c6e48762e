/** Which regions may see a request. A route and a workspace may each name some; where both do, both bind. */

/** Names of the regions that may see a request; undefined where all may, empty where none may. */
export type AllowedRegions = readonly string[] | undefined;

/** Whether a region, undefined if it is unknown, is in all lists. An unknown region is only in no list. */
export function isRegionAllowed(
  region: string | undefined,
  restrictions: readonly AllowedRegions[],
): boolean {
  return restrictions.every(
    (allowed) => allowed === undefined || (region !== undefined && allowed.includes(region)),
  );
}
