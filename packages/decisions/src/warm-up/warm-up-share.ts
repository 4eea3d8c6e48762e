/**
 * Divides the requests that a cold endpoint bears among the routers. A warm-up is over before needs could be
 * exchanged, so the rate isn't divided by need as that of a limit (see `LimitShare`): rendezvous hashing gives each
 * endpoint a few routers, and only those send to it, each at an even pace. The fleet's requests in any second are
 * then at most the rate plus one for each of these routers, whatever the routers do that are left out.
 *
 * Routers that have fallen silent stay in the list. A router that is cut off therefore doesn't take the places of
 * the others, and an endpoint whose routers are gone is left idle until it is warm.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Most routers that send to one cold endpoint. Each may add one request to a second. */
const MAX_ROUTERS = 3;

/** Least requests a second of a router's part; below it, fewer routers share the endpoint. */
const MIN_PART_PER_SECOND = 2;

const MS_PER_SECOND = 1_000;

/** Inputs of one router's part. */
export interface WarmUpShareInput {
  /** Identifies the incarnation of the endpoint. */
  incarnation: string;
  /** Requests a second that the endpoint bears from all routers together. */
  perSecond: number;
  /** Address of this router. */
  router: string;
  /** Addresses of the routers that may send to the endpoint, those that are silent included. */
  routers: readonly string[];
}

/** Time in ms that this router leaves between two requests to a cold endpoint; undefined if it sends none. */
export function warmUpGapMs(input: WarmUpShareInput): number | undefined {
  const { incarnation, perSecond, router, routers } = input;
  if (perSecond <= 0) return undefined;
  const count = Math.max(1, Math.min(MAX_ROUTERS, Math.floor(perSecond / MIN_PART_PER_SECOND)));
  const sharing = rankByRendezvous(incarnation, routers).slice(0, count);
  if (!sharing.includes(router)) return undefined;
  return (sharing.length * MS_PER_SECOND) / perSecond;
}
