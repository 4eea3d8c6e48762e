/**
 * Placement of one request among the endpoints of its pool. Pattern: many routers send prompts that
 * share long beginnings. A prompt goes where its first event comes soonest, and leaves the endpoint
 * that keeps its beginning only where that saves far more than the reading that it repeats, since
 * others wait for that reading too.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** An endpoint that could take the request. */
export interface Candidate {
  /** Incarnation of the endpoint. */
  name: string;
  /** Time until the endpoint would begin to read the request, in ms. */
  waitMs: number;
  /** Time to read what the endpoint doesn't keep of the prompt, in ms. */
  readMs: number;
  /** Part of `readMs` that goes to beginnings which other requests share. */
  sharedReadMs: number;
  /** In the router's own data centre. */
  isNear: boolean;
  /** Share of requests that failed there lately. */
  failures: number;
  isBroken: boolean;
}

/** Weight of repeated reading against waiting. */
const REPEATED_READING_WEIGHT = 2;

/** Cost of leaving the data centre, in ms of waiting. */
const FAR_COST_MS = 6;

/** Cost of an endpoint that fails every request, in ms of waiting. */
const FAILURE_COST_MS = 1_000;

/** Cost of an endpoint that seems broken, in ms of waiting; larger than any wait that is accepted. */
const BROKEN_COST_MS = 20_000;

/** The best of the candidates; undefined where there are none. */
export function placeRequest(
  affinity: string | undefined,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const home = affinity === undefined ? undefined : findHome(affinity, candidates);
  let best: Candidate | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, candidate === home);
    if (cost >= least) continue;
    best = candidate;
    least = cost;
  }
  return best;
}

/** The endpoint to read a beginning that none keeps yet: the same one at every router. */
function findHome(affinity: string, candidates: readonly Candidate[]): Candidate | undefined {
  const sound = candidates.filter(({ isBroken }) => !isBroken);
  if (sound.some(({ sharedReadMs }) => sharedReadMs === 0)) return undefined;
  const [first] = rankByRendezvous(
    affinity,
    sound.map(({ name }) => name),
  );
  return sound.find(({ name }) => name === first);
}

function costOf(candidate: Candidate, isHome: boolean): number {
  const repeated = isHome ? 0 : candidate.sharedReadMs * REPEATED_READING_WEIGHT;
  const far = candidate.isNear ? 0 : FAR_COST_MS;
  const broken = candidate.isBroken ? BROKEN_COST_MS : 0;
  const failures = candidate.failures * FAILURE_COST_MS;
  return candidate.waitMs + candidate.readMs + repeated + far + broken + failures;
}
