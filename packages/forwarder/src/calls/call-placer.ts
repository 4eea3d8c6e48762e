/** Gathers what placement and admission need to know of a request, and asks them. */
import {
  decideAdmission,
  affinityKey,
  placePlain,
  placePrompt,
  sharedPrefixTokens,
} from '@poplarpick/decisions';
import type {
  AdmissionDecision,
  PlacementCandidate,
  HashedSegment,
  Prompt,
  Route,
  ShareUsage,
} from '@poplarpick/decisions';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import { sharedSegments } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';

/** Share of an endpoint's memory that running requests may fill; beyond it, the newest are dropped. */
const HELD_SHARE = 0.9;

/** Cost of a token of an answer against one of a prompt: it takes a step of its own. */
const OUTPUT_WEIGHT = 10;

/** Time for each request at a plain endpoint beside the slots, in ms, so that ties go to the emptier. */
const TIE_MS = 1;

/** Share of the usual deadline under which a caller has evidently been refused before. */
const RETURNING_SHARE = 0.97;

/** A request to be placed. */
export interface PlacementRequest {
  route: Route;
  pool: string;
  prompt: Prompt | undefined;
  bodyBytes: number;
  /** Incarnations that have failed it already. */
  excluded: ReadonlySet<string>;
}

/** Where a request goes, and what that was decided from. */
export interface Placement extends PlacementCandidate {
  record: EndpointRecord;
  /** Time until the endpoint begins with the request, in ms. */
  waitMs: number;
  /** Time from then to the first event, in ms. */
  serviceMs: number;
  /** Prompt tokens that the endpoint must read for it. */
  prefillTokens: number;
  /** Requests of all routers at the endpoint. */
  requestsAhead: number;
  hasFreeSlot: boolean;
}

/** What a request waits for at most, and on whose behalf. */
export interface AdmissionRequest {
  route: Route;
  remainingMs: number;
  /** What the request's workspace has had of its fair shares. */
  shareUsage: ShareUsage;
  isCallerRetry: boolean;
}

/** Places and admits requests. */
export class CallPlacer {
  private readonly state: RouterState;
  private readonly usualDeadlines = new Map<string, number>();

  constructor(state: RouterState) {
    this.state = state;
  }

  /** The best endpoint for a request; undefined where there is none. */
  place(request: PlacementRequest): Placement | undefined {
    const takers = this.state.endpoints
      .findAvailable(request.pool)
      .filter(({ incarnation, client }) => !request.excluded.has(incarnation) && !client.isFull);
    const batch = this.state.routes?.findPool(request.pool)?.batch;
    const { prompt, route, bodyBytes } = request;
    if (batch === undefined || prompt === undefined) {
      return placePlain(takers.map((record) => this.assessPlain(record)));
    }
    const parts = sharedSegments(prompt);
    const options = takers.map((record) =>
      this.assessModel(record, prompt, parts, batch.cacheTokens),
    );
    const { objectiveMs } = route;
    const affinity = affinityKey(prompt);
    const weightedTokens = prompt.inputTokens + OUTPUT_WEIGHT * prompt.outputTokens;
    return placePrompt({ affinityKey: affinity, weightedTokens, bodyBytes, objectiveMs }, options);
  }

  /** Whether a caller has evidently been refused before: it has waited already. */
  isCallerRetry(route: Route, deadlineMs: number): boolean {
    const usual = Math.max(this.usualDeadlines.get(route.name) ?? 0, deadlineMs);
    this.usualDeadlines.set(route.name, usual);
    return deadlineMs < usual * RETURNING_SHARE;
  }

  /** Whether a request is accepted at its place. */
  admit(request: AdmissionRequest, place: Placement): AdmissionDecision {
    const { route, remainingMs, shareUsage, isCallerRetry } = request;
    const { waitMs, serviceMs } = place;
    const { objectiveMs } = route;
    const { pool } = place.record.endpoint;
    const surplusWaitLimit = this.state.surplusWaitLimit(pool);
    const admission = decideAdmission(
      { waitMs, serviceMs, objectiveMs, remainingMs, shareUsage, surplusWaitLimit, isCallerRetry },
      this.state.random(),
    );
    if (!admission.isAccepted && !admission.isOverShare) {
      this.state.surplusLimiter(pool).recordRefused();
    }
    return admission;
  }

  private assessModel(
    record: EndpointRecord,
    prompt: Prompt,
    parts: readonly HashedSegment[],
    cacheTokens: number,
  ): Placement {
    const now = this.state.clock.monotonic();
    const speed = this.state.latencyEstimator(record.endpoint.pool);
    const share = record.load.totalLoad(now);
    const uncachedTokens = this.state.prefixCacheIndex.uncachedTokens(record.incarnation, parts);
    const prefillTokens =
      Math.max(0, prompt.inputTokens - sharedPrefixTokens(prompt)) + uncachedTokens;
    const requestsAhead = share.pending + share.running;
    const isFull = share.kvCacheTokens + prompt.inputTokens > cacheTokens * HELD_SHARE;
    const slotWait = this.slotWait(record, requestsAhead, isFull);
    const waitMs = speed.estimatePrefillMs(record.incarnation, share.prefillTokens) + slotWait;
    const serviceMs = speed.estimateFirstEventMs(record.incarnation, prefillTokens);
    return {
      ...this.describe(record, now),
      expectedFirstEventMs: waitMs + serviceMs,
      tokensAhead: share.prefillTokens,
      uncachedTokens,
      waitMs,
      serviceMs,
      prefillTokens,
      requestsAhead,
      hasFreeSlot: slotWait === 0,
    };
  }

  private assessPlain(record: EndpointRecord): Placement {
    const now = this.state.clock.monotonic();
    const speed = this.state.latencyEstimator(record.endpoint.pool);
    const share = record.load.totalLoad(now);
    const requestsAhead = share.pending + share.running;
    const waitMs = this.slotWait(record, requestsAhead, false);
    const serviceMs = speed.estimateFirstEventMs(record.incarnation, 0);
    return {
      ...this.describe(record, now),
      expectedFirstEventMs: waitMs + serviceMs + requestsAhead * TIE_MS,
      tokensAhead: 0,
      uncachedTokens: 0,
      waitMs,
      serviceMs,
      prefillTokens: 0,
      requestsAhead,
      hasFreeSlot: waitMs === 0,
    };
  }

  private describe(
    record: EndpointRecord,
    now: number,
  ): Pick<Placement, 'record' | 'incarnation' | 'isLocal' | 'failureRate' | 'isUnhealthy'> {
    return {
      record,
      incarnation: record.incarnation,
      isLocal: record.endpoint.dataCentre === this.state.dataCentre,
      failureRate: record.load.failureRate,
      isUnhealthy: record.load.isUnhealthy(now),
    };
  }

  /** Time until a slot is free, in ms: requests end one after the other. */
  private slotWait(record: EndpointRecord, requestsAhead: number, isFull: boolean): number {
    const { slots, pool } = record.endpoint;
    const excess = requestsAhead - slots + 1;
    if (excess <= 0 && !isFull) return 0;
    const meanMs = this.state.latencyEstimator(pool).meanDurationMs;
    return (Math.max(1, excess) * meanMs) / Math.max(1, slots);
  }
}
