/**
 * Placement of one request on an endpoint of its pool. Each candidate gets a cost, and the cheapest
 * candidate is selected.
 *
 * Requests with a prompt use prefix-affinity placement, since many prompts share long prefixes that
 * endpoints cache. Their costs are measured in prompt tokens:
 *
 * - Uncached prefix tokens cost their full number, since their prefill delays other requests.
 * - Streams that the prefill makes pause for too long cost their tokens like a lateness.
 * - Expected lateness and failures cost a multiple of the request's weighted tokens.
 * - Prompt tokens queued ahead have a small weight. A short prefix therefore moves to a less loaded
 *   endpoint, while a long prefix stays where it is cached.
 * - An endpoint that takes a limited number of requests adds the price of one.
 * - An endpoint in another data centre adds a fixed cost and a cost per byte of the body.
 *
 * If no healthy endpoint has the whole prefix cached, rendezvous hashing selects a preferred endpoint
 * that gets a discount. All routers of a data centre prefer the same endpoint, so the prefix is cached
 * once instead of once per router.
 *
 * Plain requests, which have no prompt, go to the endpoint that is expected to answer first.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** An endpoint that is eligible for the request. */
export interface PlacementCandidate {
  /** Identifies the endpoint's incarnation. */
  incarnation: string;
  /** Expected time to the first event, or to the response of a plain request, in ms. */
  expectedFirstEventMs: number;
  /** Prompt tokens that await prefill at the endpoint ahead of this request. */
  tokensAhead: number;
  /** Tokens of the prompt's shared prefix that the endpoint doesn't have cached. */
  uncachedTokens: number;
  /** The endpoint is in the router's own data centre. */
  isLocal: boolean;
  /** Moving average of the fraction of failed requests, in 0..1. */
  failureRate: number;
  isUnhealthy: boolean;
  /** Tokens of the streams at the endpoint, weighted with the risk that this request makes them pause for too long. */
  pausedTokens?: number;
  /** Cost of a request with a prompt because the endpoint takes a limited number of them, in tokens. */
  limitCostTokens: number;
}

/** The properties of a request with a prompt that affect its placement. */
export interface PromptPlacement {
  /** Identifies the shared prefix of the prompt. */
  affinityKey: string;
  /** Prompt tokens plus output tokens, with output tokens weighted by their higher cost. */
  weightedTokens: number;
  bodyBytes: number;
  /** Latency objective for the first event, in ms. */
  objectiveMs: number;
}

/** Cost of a lateness of 1, as a multiple of the request's weighted tokens. */
const LATENESS_WEIGHT = 0.35;

/** Fraction of the objective up to which an expected time is safely on time and the lateness is 0. */
const ON_TIME_FRACTION = 0.7;

/**
 * Further fraction of the objective over which the lateness grows from 0 to 1, the point at which a late
 * response is certain. It keeps growing linearly beyond that point.
 */
const LATENESS_RAMP_FRACTION = 0.5;

/** Cost per prompt token queued ahead of the request, in tokens. */
const TOKENS_AHEAD_WEIGHT = 0.03;

/** Discount for the preferred endpoint of an uncached prefix, as a fraction of the uncached tokens. */
const PREFERRED_ENDPOINT_DISCOUNT = 0.3;

/** Cost of an endpoint in another data centre, in tokens per request and per byte of its body. */
const REMOTE_COST_TOKENS = { perRequest: 60, perBodyByte: 0.015 };

/** Cost of an endpoint that fails every request, as a multiple of the request's weighted tokens. */
const FAILURE_WEIGHT = 1.5;

/** Cost of an unhealthy endpoint, as a multiple of the request's weighted tokens. */
const UNHEALTHY_WEIGHT = 20;

/** Selects the endpoint for a request with a prompt; undefined if there are no candidates. */
export function placePrompt<Candidate extends PlacementCandidate>(
  request: PromptPlacement,
  candidates: readonly Candidate[],
): Candidate | undefined {
  return cheapest(candidates, promptCosts(request, candidates));
}

/** Cost of each candidate for a request with a prompt, in tokens. */
export function promptCosts(
  request: PromptPlacement,
  candidates: readonly PlacementCandidate[],
): number[] {
  const preferred = findPreferredEndpoint(request.affinityKey, candidates);
  return candidates.map((candidate) => {
    const discount =
      candidate === preferred ? PREFERRED_ENDPOINT_DISCOUNT * candidate.uncachedTokens : 0;
    return computePromptCost(request, candidate) - discount;
  });
}

/** Cost of a candidate in tokens, without the discount for the preferred endpoint. */
function computePromptCost(request: PromptPlacement, candidate: PlacementCandidate): number {
  const { weightedTokens, objectiveMs, bodyBytes } = request;
  const excessMs = candidate.expectedFirstEventMs - objectiveMs * ON_TIME_FRACTION;
  const lateness = Math.max(0, excessMs / (objectiveMs * LATENESS_RAMP_FRACTION));
  const remoteCost = candidate.isLocal
    ? 0
    : REMOTE_COST_TOKENS.perRequest + bodyBytes * REMOTE_COST_TOKENS.perBodyByte;
  const failurePenalty =
    candidate.failureRate * FAILURE_WEIGHT + (candidate.isUnhealthy ? UNHEALTHY_WEIGHT : 0);
  return (
    candidate.uncachedTokens +
    candidate.tokensAhead * TOKENS_AHEAD_WEIGHT +
    lateness * LATENESS_WEIGHT * weightedTokens +
    (candidate.pausedTokens ?? 0) * LATENESS_WEIGHT +
    failurePenalty * weightedTokens +
    remoteCost +
    candidate.limitCostTokens
  );
}

/**
 * Selects the preferred endpoint for a prefix that no healthy candidate has fully cached; undefined if
 * one has. Remote endpoints are only considered if there is no healthy local one. Every router of a data
 * centre selects the same endpoint as long as it sees the same candidates.
 */
function findPreferredEndpoint<Candidate extends PlacementCandidate>(
  affinityKey: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const healthy = candidates.filter(({ isUnhealthy }) => !isUnhealthy);
  if (healthy.some(({ uncachedTokens }) => uncachedTokens === 0)) return undefined;
  const local = healthy.filter(({ isLocal }) => isLocal);
  const eligible = local.length > 0 ? local : healthy;
  const [topRanked] = rankByRendezvous(
    affinityKey,
    eligible.map(({ incarnation }) => incarnation),
  );
  return eligible.find(({ incarnation }) => incarnation === topRanked);
}

/** Cost of an endpoint in another data centre for a plain request, in ms. */
const REMOTE_COST_MS = 6;

/** Cost of an endpoint that fails every request, for a plain request, in ms. */
const FAILURE_COST_MS = 1_000;

/** Cost of an unhealthy endpoint for a plain request, in ms. */
const UNHEALTHY_COST_MS = 20_000;

/** Selects the endpoint for a request without a prompt; undefined if there are no candidates. */
export function placePlain<Candidate extends PlacementCandidate>(
  candidates: readonly Candidate[],
): Candidate | undefined {
  return cheapest(candidates, plainCosts(candidates));
}

/** Cost of each candidate for a request without a prompt, in ms. */
export function plainCosts(candidates: readonly PlacementCandidate[]): number[] {
  return candidates.map((candidate) => {
    const remoteCost = candidate.isLocal ? 0 : REMOTE_COST_MS;
    const unhealthyCost = candidate.isUnhealthy ? UNHEALTHY_COST_MS : 0;
    return (
      candidate.expectedFirstEventMs +
      remoteCost +
      unhealthyCost +
      candidate.failureRate * FAILURE_COST_MS
    );
  });
}

/** Returns the candidate with the lowest of the costs, the first one on a tie; undefined if there are none. */
export function cheapest<Candidate>(
  candidates: readonly Candidate[],
  costs: readonly number[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const [index, candidate] of candidates.entries()) {
    const cost = costs[index] ?? Number.POSITIVE_INFINITY;
    if (cost >= lowestCost) continue;
    best = candidate;
    lowestCost = cost;
  }
  return best;
}
