/**
 * Selects an endpoint for a call and decides on its admission. Collects the inputs of those decisions
 * (load, prefix caches, latency estimates, share usage) from the router's state.
 */
import {
  decideAdmission,
  affinityKey,
  placePlain,
  placePrompt,
  planTransfer,
  sharedPrefixTokens,
} from '@poplarpick/decisions';
import type {
  AdmissionDecision,
  CacheTransfer,
  Endpoint,
  PlacementCandidate,
  HashedSegment,
  Prompt,
  PromptTransfer,
  Route,
  ShareUsage,
} from '@poplarpick/decisions';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import { sharedSegments } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';

/** Usable fraction of an endpoint's KV cache; beyond it, the engine drops the newest requests. */
const MAX_CACHE_FRACTION = 0.9;

/** Weight of an output token relative to a prompt token, since each takes a decoding step of its own. */
const OUTPUT_TOKEN_WEIGHT = 10;

/**
 * Cost of a token that is copied from another endpoint, as a fraction of one that is prefilled: copies take room in
 * the cache of the endpoint and bandwidth.
 */
const TRANSFER_COST_FRACTION = 0.15;

/** Time added per request at a plain endpoint, in ms, so that the least loaded one wins ties. */
const TIE_BREAK_MS = 1;

/** A request that needs an endpoint. */
export interface PlacementRequest {
  route: Route;
  pool: string;
  prompt: Prompt | undefined;
  bodyBytes: number;
  /** Incarnations at which the request has failed already. */
  excluded: ReadonlySet<string>;
  /** Whether an endpoint may serve the request; by default each one may. */
  allows?: (endpoint: Endpoint) => boolean;
}

/** An endpoint that has cached some of a prompt. */
export interface PromptSource {
  incarnation: string;
  address: string;
  dataCentre: string;
  uncachedTokens: number;
}

/** A prompt pool's way to transfer cached tokens and the endpoints that have some of the prompt. */
interface TransferOptions {
  transfer: CacheTransfer;
  sources: readonly PromptSource[];
}

/** The endpoint selected for a request, with the estimates that led to it. */
export interface Placement extends PlacementCandidate {
  record: EndpointRecord;
  /** Estimated queueing time at the endpoint, in ms. */
  waitMs: number;
  /** Estimated time from the end of the wait to the first event, in ms. */
  serviceMs: number;
  /** Prompt tokens that the endpoint has to prefill for the request. */
  prefillTokens: number;
  /** What the endpoint copies from another one before its prefill; undefined if it copies nothing. */
  transfer?: PromptTransfer<PromptSource> | undefined;
  /** Requests of all routers that are in flight at the endpoint. */
  requestsAhead: number;
  hasFreeSlot: boolean;
}

/** Fields of a placement that don't depend on the request. */
type EndpointFields =
  'record' | 'incarnation' | 'isLocal' | 'failureRate' | 'isUnhealthy' | 'limitCostTokens';

/** A request that has a placement and awaits admission. */
export interface AdmissionRequest {
  route: Route;
  /** Time until the request's deadline, in ms. */
  remainingMs: number;
  /** How much of its fair shares the request's workspace has used. */
  shareUsage: ShareUsage;
  isCallerRetry: boolean;
  /** The request resumes a stream that has broken; by default it doesn't. */
  isResumption?: boolean;
}

/** Selects endpoints for requests and admits them. */
export class CallPlacer {
  private readonly state: RouterState;

  constructor(state: RouterState) {
    this.state = state;
  }

  /** Selects the best endpoint for a request; undefined if none is available. */
  place(request: PlacementRequest): Placement | undefined {
    const { excluded, allows = () => true } = request;
    const available = this.state.endpoints
      .findAvailable(request.pool)
      .filter(({ incarnation, client }) => !excluded.has(incarnation) && !client.isFull)
      .filter(({ endpoint }) => allows(endpoint))
      .filter((record) => !this.state.warmUps.isHeld(record));
    const batch = this.state.routes?.findPool(request.pool)?.batch;
    const { prompt, route, bodyBytes } = request;
    if (batch === undefined || prompt === undefined) {
      const candidates = available.map((record) => this.evaluatePlainEndpoint(record));
      return this.selectWithinLimits(candidates, placePlain);
    }
    const segments = sharedSegments(prompt);
    const transfers = this.findTransferOptions(request.pool, batch.transfer, segments);
    const candidates = available.map((record) => {
      const placement = this.evaluateModelEndpoint(record, prompt, segments, batch.cacheTokens);
      return transfers === undefined ? placement : this.withTransfer(placement, transfers);
    });
    const { objectiveMs } = route;
    const affinity = affinityKey(prompt);
    const weightedTokens = prompt.inputTokens + OUTPUT_TOKEN_WEIGHT * prompt.outputTokens;
    const promptPlacement = { affinityKey: affinity, weightedTokens, bodyBytes, objectiveMs };
    return this.selectWithinLimits(candidates, (eligible) =>
      placePrompt(promptPlacement, eligible),
    );
  }

  /** Selects the best candidate, or if its limit is used up, the best one of those that take a request now. */
  private selectWithinLimits(
    candidates: readonly Placement[],
    select: (eligible: readonly Placement[]) => Placement | undefined,
  ): Placement | undefined {
    const { limits } = this.state;
    const best = select(candidates);
    if (best === undefined || !limits.isExhausted(best.record)) return best;
    limits.recordDiverted(best.record);
    return select(candidates.filter(({ record }) => !limits.isExhausted(record)));
  }

  /**
   * Decides whether a request is admitted at its endpoint. The surplus limiter counts the refusal of a
   * request within its workspace's share.
   */
  admit(request: AdmissionRequest, placement: Placement): AdmissionDecision {
    const { route, remainingMs, shareUsage, isCallerRetry, isResumption = false } = request;
    const { waitMs, serviceMs } = placement;
    const { objectiveMs } = route;
    const { record } = placement;
    const { pool } = record.endpoint;
    const paceUsed = this.state
      .streamPace(pool)
      .paceUsed(record.incarnation, this.state.clock.monotonic());
    const surplusWaitLimit = this.state.surplusWaitLimit(pool);
    const admission = decideAdmission(
      {
        waitMs,
        serviceMs,
        objectiveMs,
        remainingMs,
        shareUsage,
        surplusWaitLimit,
        isCallerRetry,
        isResumption,
        paceUsed,
      },
      this.state.random(),
    );
    if (!admission.isAccepted && !admission.isOverShare) {
      this.state.surplusLimiter(pool).recordRefused();
    }
    return admission;
  }

  /** The endpoints of a pool from which the prefix of a prompt can be copied; undefined if none has it. */
  private findTransferOptions(
    pool: string,
    transfer: CacheTransfer | undefined,
    segments: readonly HashedSegment[],
  ): TransferOptions | undefined {
    if (transfer === undefined || segments.length === 0) return undefined;
    const now = this.state.clock.monotonic();
    const sharedTokens = segments.reduce((sum, { tokens }) => sum + tokens, 0);
    const sources: PromptSource[] = [];
    for (const { incarnation, endpoint, load, availability } of this.state.endpoints.all()) {
      if (endpoint.pool !== pool || availability.isDraining || load.isUnhealthy(now)) continue;
      const uncachedTokens = this.state.prefixCacheIndex.uncachedTokens(incarnation, segments, now);
      if (uncachedTokens === sharedTokens) continue;
      const { address, dataCentre } = endpoint;
      sources.push({ incarnation, address, dataCentre, uncachedTokens });
    }
    return sources.length === 0 ? undefined : { transfer, sources };
  }

  /** The placement with the transfer that saves its endpoint most time, if there is one. */
  private withTransfer(placement: Placement, { transfer, sources }: TransferOptions): Placement {
    const { record, uncachedTokens, prefillTokens, waitMs, incarnation } = placement;
    if (uncachedTokens === 0) return placement;
    const { pool, dataCentre } = record.endpoint;
    const estimator = this.state.latencyEstimator(pool);
    const plan = planTransfer({
      target: { dataCentre, uncachedTokens },
      sources,
      transfer,
      prefillMsPerToken: estimator.estimatePrefillMs(incarnation, 1),
    });
    if (plan === undefined) return placement;
    const remainingTokens = prefillTokens - plan.tokens;
    const serviceMs =
      estimator.estimateFirstEventMs(incarnation, remainingTokens) + plan.durationMs;
    return {
      ...placement,
      uncachedTokens: uncachedTokens - plan.tokens * (1 - TRANSFER_COST_FRACTION),
      prefillTokens: remainingTokens,
      serviceMs,
      expectedFirstEventMs: waitMs + serviceMs,
      transfer: plan,
    };
  }

  private evaluateModelEndpoint(
    record: EndpointRecord,
    prompt: Prompt,
    segments: readonly HashedSegment[],
    cacheTokens: number,
  ): Placement {
    const now = this.state.clock.monotonic();
    const estimator = this.state.latencyEstimator(record.endpoint.pool);
    const load = record.load.totalLoad(now);
    const uncachedTokens = this.state.prefixCacheIndex.uncachedTokens(record.incarnation, segments);
    const prefillTokens =
      Math.max(0, prompt.inputTokens - sharedPrefixTokens(prompt)) + uncachedTokens;
    const requestsAhead = load.pending + load.running;
    const isCacheFull = load.kvCacheTokens + prompt.inputTokens > cacheTokens * MAX_CACHE_FRACTION;
    const slotWaitMs = this.estimateSlotWaitMs(record, requestsAhead, isCacheFull);
    const waitMs = estimator.estimatePrefillMs(record.incarnation, load.prefillTokens) + slotWaitMs;
    const serviceMs = estimator.estimateFirstEventMs(record.incarnation, prefillTokens);
    return {
      ...this.endpointFields(record, now),
      expectedFirstEventMs: waitMs + serviceMs,
      tokensAhead: load.prefillTokens,
      uncachedTokens,
      waitMs,
      serviceMs,
      prefillTokens,
      requestsAhead,
      hasFreeSlot: slotWaitMs === 0,
    };
  }

  private evaluatePlainEndpoint(record: EndpointRecord): Placement {
    const now = this.state.clock.monotonic();
    const estimator = this.state.latencyEstimator(record.endpoint.pool);
    const load = record.load.totalLoad(now);
    const requestsAhead = load.pending + load.running;
    const waitMs = this.estimateSlotWaitMs(record, requestsAhead, false);
    const serviceMs = estimator.estimateFirstEventMs(record.incarnation, 0);
    return {
      ...this.endpointFields(record, now),
      expectedFirstEventMs: waitMs + serviceMs + requestsAhead * TIE_BREAK_MS,
      tokensAhead: 0,
      uncachedTokens: 0,
      waitMs,
      serviceMs,
      prefillTokens: 0,
      requestsAhead,
      hasFreeSlot: waitMs === 0,
    };
  }

  private endpointFields(record: EndpointRecord, now: number): Pick<Placement, EndpointFields> {
    return {
      record,
      incarnation: record.incarnation,
      isLocal: record.endpoint.dataCentre === this.state.dataCentre,
      failureRate: record.load.failureRate,
      isUnhealthy: record.load.isUnhealthy(now),
      limitCostTokens: record.limit.priceTokens,
    };
  }

  /**
   * Estimated time until a slot is free, in ms, assuming that requests end at an even rate. With a full
   * KV cache, a request has to wait for another one to end even if a slot is free.
   */
  private estimateSlotWaitMs(
    record: EndpointRecord,
    requestsAhead: number,
    isCacheFull: boolean,
  ): number {
    const { slots, pool } = record.endpoint;
    const requestsToFinish = requestsAhead - slots + 1;
    if (requestsToFinish <= 0 && !isCacheFull) return 0;
    const meanMs = this.state.latencyEstimator(pool).meanDurationMs;
    return (Math.max(1, requestsToFinish) * meanMs) / Math.max(1, slots);
  }
}
