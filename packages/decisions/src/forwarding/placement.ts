/**
 * Placement of one request among the endpoints of its pool.
 *
 * Prompts: many routers send prompts that share long beginnings. Costs are counted in prompt tokens.
 * Reading a beginning again costs its tokens, since others wait for that reading; being late costs a
 * share of the request's size; work ahead counts a little, so that short beginnings go where it is
 * calm while long ones stay. A beginning that no endpoint keeps yet goes to the same one from every
 * router of a data centre.
 *
 * Plain requests: the endpoint that answers soonest.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** An endpoint that could take the request. */
export interface PlacementCandidate {
  /** Incarnation of the endpoint. */
  incarnation: string;
  /** Expected time to the first event or the answer, in ms. */
  expectedFirstEventMs: number;
  /** Prompt tokens that are ahead of the request. */
  tokensAhead: number;
  /** Tokens of shared beginnings that the endpoint doesn't keep. */
  uncachedTokens: number;
  /** In the router's own data centre. */
  isLocal: boolean;
  /** Share of requests that failed there lately. */
  failureRate: number;
  isUnhealthy: boolean;
}

/** A request with a prompt. */
export interface PromptPlacement {
  /** Names the shared beginning. */
  affinityKey: string;
  /** Prompt tokens and answer tokens, the latter by their cost. */
  weightedTokens: number;
  bodyBytes: number;
  /** Time within which the first event is on time, in ms. */
  objectiveMs: number;
}

/** Cost of being one objective late, as a share of the request's size. */
const LATE_SHARE = 0.35;

/** Share of the objective up to which an expected time counts as safely on time. */
const SAFE_SHARE = 0.7;

/** Share of the objective over which lateness becomes certain. */
const UNSURE_SHARE = 0.5;

/** Cost of each token ahead. */
const AHEAD_WEIGHT = 0.03;

/** Preference for the common first endpoint of a beginning that none keeps, as a share of its tokens. */
const HOME_SHARE = 0.3;

/** Cost of leaving the data centre, in tokens: for each request, and for each byte of its body. */
const FAR_TOKENS = { request: 60, bodyByte: 0.015 };

/** Cost of an endpoint that fails every request, as a share of the request's size. */
const FAILURE_SHARE = 1.5;

/** Cost of an endpoint that seems broken, as a share of the request's size. */
const BROKEN_SHARE = 20;

/** The best endpoint for a prompt; undefined where there is none. */
export function placePrompt<Option extends PlacementCandidate>(
  request: PromptPlacement,
  candidates: readonly Option[],
): Option | undefined {
  const home = findHome(request.affinityKey, candidates);
  return cheapest(candidates, (candidate) => {
    const bonus = candidate === home ? HOME_SHARE * candidate.uncachedTokens : 0;
    return promptCost(request, candidate) - bonus;
  });
}

function promptCost(request: PromptPlacement, candidate: PlacementCandidate): number {
  const { weightedTokens, objectiveMs, bodyBytes } = request;
  const overMs = candidate.expectedFirstEventMs - objectiveMs * SAFE_SHARE;
  const lateness = Math.max(0, overMs / (objectiveMs * UNSURE_SHARE));
  const far = candidate.isLocal ? 0 : FAR_TOKENS.request + bodyBytes * FAR_TOKENS.bodyByte;
  const trouble =
    candidate.failureRate * FAILURE_SHARE + (candidate.isUnhealthy ? BROKEN_SHARE : 0);
  return (
    candidate.uncachedTokens +
    candidate.tokensAhead * AHEAD_WEIGHT +
    lateness * LATE_SHARE * weightedTokens +
    trouble * weightedTokens +
    far
  );
}

/** The endpoint for a beginning that none keeps yet: the same at every router of the data centre. */
function findHome<Option extends PlacementCandidate>(
  affinity: string,
  candidates: readonly Option[],
): Option | undefined {
  const sound = candidates.filter(({ isUnhealthy }) => !isUnhealthy);
  if (sound.some(({ uncachedTokens }) => uncachedTokens === 0)) return undefined;
  const near = sound.filter(({ isLocal }) => isLocal);
  const choice = near.length > 0 ? near : sound;
  const [first] = rankByRendezvous(
    affinity,
    choice.map(({ incarnation }) => incarnation),
  );
  return choice.find(({ incarnation }) => incarnation === first);
}

/** Cost of leaving the data centre for a plain request, in ms. */
const FAR_MS = 6;

/** Cost of a plain endpoint that fails every request, in ms. */
const FAILURE_MS = 1_000;

/** Cost of a plain endpoint that seems broken, in ms. */
const BROKEN_MS = 20_000;

/** The best endpoint for a request without a prompt; undefined where there is none. */
export function placePlain<Option extends PlacementCandidate>(
  candidates: readonly Option[],
): Option | undefined {
  return cheapest(candidates, (candidate) => {
    const far = candidate.isLocal ? 0 : FAR_MS;
    const broken = candidate.isUnhealthy ? BROKEN_MS : 0;
    return candidate.expectedFirstEventMs + far + broken + candidate.failureRate * FAILURE_MS;
  });
}

function cheapest<Option extends PlacementCandidate>(
  candidates: readonly Option[],
  costOf: (candidate: Option) => number,
): Option | undefined {
  let best: Option | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate);
    if (cost >= least) continue;
    best = candidate;
    least = cost;
  }
  return best;
}
