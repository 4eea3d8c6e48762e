/**
 * Estimates what a request would meet at each endpoint that may serve it: its wait, its prefill, what the endpoint
 * can copy from another one, and what its prefill does to the streams there. Changes nothing.
 */
import {
  MIN_TRANSFER_TOKENS,
  planTransfer,
  selectSources,
  sharedPrefixTokens,
} from '@poplarpick/decisions';
import type {
  BatchCapacity,
  CacheTransfer,
  Endpoint,
  PlacementCandidate,
  HashedSegment,
  Prompt,
  PromptTransfer,
  Route,
} from '@poplarpick/decisions';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import { sharedSegments } from '../shared-segments.ts';
import type { RouterState } from '../router-state.ts';

/** Usable fraction of an endpoint's KV cache; beyond it, the engine drops the newest requests. */
const MAX_CACHE_FRACTION = 0.9;

/**
 * Cost of a token that is copied from another endpoint, as a fraction of one that is prefilled: copies take room in
 * the cache of the endpoint and bandwidth.
 */
const TRANSFER_COST_FRACTION = 0.5;

/** Weight of an output token relative to a prompt token, since each takes a decoding step of its own. */
const OUTPUT_TOKEN_WEIGHT = 10;

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
  /** Longest wait at the endpoint, in ms; by default any. */
  maxWaitMs?: number | undefined;
}

/** An endpoint that has cached some of a prompt. */
export interface PromptSource {
  address: string;
  dataCentre: string;
  version: string | undefined;
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
  /** Tokens of these requests in the endpoint's KV cache. */
  kvCacheTokens: number;
  hasFreeSlot: boolean;
}

/** Fields of a placement that don't depend on the request. */
type EndpointFields =
  'record' | 'incarnation' | 'isLocal' | 'failureRate' | 'isUnhealthy' | 'limitCostTokens';

/** Why an endpoint of a pool isn't considered for a request. */
export enum EndpointObstacle {
  Draining = 'draining',
  Paused = 'paused',
  Evacuated = 'evacuated',
  Cold = 'cold',
  /** All of this router's connections to it are in use. */
  Full = 'full',
  /** The request has failed there. */
  Failed = 'failed',
  /** It is in a region that may not see the request, or can't go on with its stream. */
  NotAllowed = 'not-allowed',
  /** Its entry is gone. */
  Gone = 'gone',
}

/** Evaluates endpoints for requests. */
export class EndpointEvaluator {
  private readonly state: RouterState;

  constructor(state: RouterState) {
    this.state = state;
  }

  /** The endpoints that may serve a request, with the estimates for it. */
  evaluate(request: PlacementRequest): Placement[] {
    const now = this.state.clock.monotonic();
    const available: EndpointRecord[] = [];
    for (const record of this.state.endpoints.all()) {
      if (record.endpoint.pool !== request.pool) continue;
      if (this.findObstacle(record, request, now) === undefined) available.push(record);
    }
    const batch = this.state.routes?.findPool(request.pool)?.batch;
    const { prompt, maxWaitMs = Number.POSITIVE_INFINITY } = request;
    const candidates =
      batch === undefined || prompt === undefined
        ? available.map((record) => this.evaluatePlainEndpoint(record))
        : this.evaluateModelEndpoints(available, request.pool, prompt, batch);
    return candidates.filter(({ waitMs }) => waitMs <= maxWaitMs);
  }

  /** Why an endpoint isn't considered for a request; undefined if it is. */
  findObstacle(
    record: EndpointRecord,
    request: PlacementRequest,
    now = this.state.clock.monotonic(),
  ): EndpointObstacle | undefined {
    const { endpoint, client, incarnation } = record;
    const { excluded, allows = () => true } = request;
    const closure = this.findClosure(record, now);
    if (closure !== undefined) return closure;
    if (excluded.has(incarnation)) return EndpointObstacle.Failed;
    if (client.isFull) return EndpointObstacle.Full;
    if (!allows(endpoint)) return EndpointObstacle.NotAllowed;
    return this.state.warmUps.isHeld(record) ? EndpointObstacle.Cold : undefined;
  }

  /** Why an endpoint takes no new request at all; undefined if it takes some. */
  findClosure(
    { endpoint, availability }: EndpointRecord,
    now = this.state.clock.monotonic(),
  ): EndpointObstacle | undefined {
    if (availability.isDraining) return EndpointObstacle.Draining;
    if (!availability.takesRequests(now)) return EndpointObstacle.Paused;
    const isEvacuated = this.state.evacuations.has(endpoint.dataCentre);
    return isEvacuated ? EndpointObstacle.Evacuated : undefined;
  }

  private evaluateModelEndpoints(
    available: readonly EndpointRecord[],
    pool: string,
    prompt: Prompt,
    { cacheTokens, transfer }: BatchCapacity,
  ): Placement[] {
    const segments = sharedSegments(prompt);
    const weightedTokens = weighTokens(prompt);
    const now = this.state.clock.monotonic();
    const transfers = this.findTransferOptions(pool, transfer, segments);
    return available.map((record) => {
      const placement = this.evaluateModelEndpoint(record, prompt, segments, cacheTokens, now);
      const transferred =
        transfers === undefined ? placement : this.withTransfer(placement, transfers);
      transferred.pausedTokens = this.countPausedTokens(transferred, weightedTokens, now);
      return transferred;
    });
  }

  /** The endpoints of a pool from which the prefix of a prompt can be copied; undefined if none has it. */
  private findTransferOptions(
    pool: string,
    transfer: CacheTransfer | undefined,
    segments: readonly HashedSegment[],
  ): TransferOptions | undefined {
    const sharedTokens = segments.reduce((sum, { tokens }) => sum + tokens, 0);
    if (transfer === undefined || sharedTokens < MIN_TRANSFER_TOKENS) return undefined;
    const now = this.state.clock.monotonic();
    const readAt = this.state.peers.lastRead(now);
    const sources: PromptSource[] = [];
    for (const { incarnation, endpoint, load, availability } of this.state.endpoints.all()) {
      if (endpoint.pool !== pool || availability.isDraining) continue;
      const uncachedTokens = this.state.prefixCacheIndex.uncachedTokens(incarnation, segments, now);
      if (uncachedTokens === sharedTokens || load.isUnhealthy(now, readAt)) continue;
      const { address, dataCentre, version } = endpoint;
      sources.push({ address, dataCentre, version, uncachedTokens });
    }
    return sources.length === 0 ? undefined : { transfer, sources: selectSources(sources) };
  }

  /** The placement with the transfer that saves its endpoint most time, if there is one. */
  private withTransfer(placement: Placement, { transfer, sources }: TransferOptions): Placement {
    const { record, uncachedTokens, prefillTokens, waitMs, incarnation } = placement;
    if (uncachedTokens === 0) return placement;
    const { pool, dataCentre, version } = record.endpoint;
    const estimator = this.state.pools.latencyEstimator(pool);
    const plan = planTransfer({
      target: { dataCentre, version, uncachedTokens },
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

  /**
   * Tokens of the streams that are expected to pause for too long at an endpoint: those that the prefill delays, and
   * the request's own, which others will delay.
   */
  private countPausedTokens(placement: Placement, weightedTokens: number, now: number): number {
    const { record, incarnation, prefillTokens, tokensAhead, kvCacheTokens } = placement;
    const { pool } = record.endpoint;
    const pace = this.state.pools.streamPace(pool);
    const ownRisk = pace.pauseRisk(incarnation, Number.POSITIVE_INFINITY, now);
    if (ownRisk === 0) return 0;
    const estimator = this.state.pools.latencyEstimator(pool);
    const prefillMs = estimator.estimatePrefillMs(incarnation, prefillTokens + tokensAhead);
    const risk = pace.pauseRisk(incarnation, prefillMs, now);
    return risk * kvCacheTokens + ownRisk * weightedTokens;
  }

  private evaluateModelEndpoint(
    record: EndpointRecord,
    prompt: Prompt,
    segments: readonly HashedSegment[],
    cacheTokens: number,
    now: number,
  ): Placement {
    const estimator = this.state.pools.latencyEstimator(record.endpoint.pool);
    const load = record.load.totalLoad(this.state.peers.lastRead(now));
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
      kvCacheTokens: load.kvCacheTokens,
      hasFreeSlot: slotWaitMs === 0,
    };
  }

  private evaluatePlainEndpoint(record: EndpointRecord): Placement {
    const now = this.state.clock.monotonic();
    const estimator = this.state.pools.latencyEstimator(record.endpoint.pool);
    const load = record.load.totalLoad(this.state.peers.lastRead(now));
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
      kvCacheTokens: 0,
      hasFreeSlot: waitMs === 0,
    };
  }

  private endpointFields(record: EndpointRecord, now: number): Pick<Placement, EndpointFields> {
    return {
      record,
      incarnation: record.incarnation,
      isLocal: record.endpoint.dataCentre === this.state.dataCentre,
      failureRate: record.load.failureRate,
      isUnhealthy: record.load.isUnhealthy(now, this.state.peers.lastRead(now)),
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
    const meanMs = this.state.pools.latencyEstimator(pool).meanDurationMs;
    return (Math.max(1, requestsToFinish) * meanMs) / Math.max(1, slots);
  }
}

/** Tokens of a request, with output tokens weighted by their higher cost. */
export function weighTokens({ inputTokens, outputTokens }: Prompt): number {
  return inputTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
}
