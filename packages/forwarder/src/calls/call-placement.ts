/** Gathers what placement and admission need to know of a request, and asks them. */
import { admitRequest, affinityKey, placeRequest, sharedTokens } from '@poplarpick/decisions';
import type { Admission, Candidate, Prompt, Route } from '@poplarpick/decisions';
import type { EndpointRecord } from '../endpoints/endpoint-directory.ts';
import { partsOf } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';

/** Share of an endpoint's memory that running requests may fill; beyond it, the newest are dropped. */
const HELD_SHARE = 0.9;

/** Time for each request at a plain endpoint beside the slots, in ms, so that ties go to the emptier. */
const TIE_MS = 1;

/** Share of the usual deadline under which a caller has evidently been refused before. */
const RETURNING_SHARE = 0.97;

/** A request to be placed. */
export interface PlacementRequest {
  route: Route;
  pool: string;
  prompt: Prompt | undefined;
  /** Incarnations that have failed it already. */
  excluded: ReadonlySet<string>;
}

/** Where a request goes, and what that was decided from. */
export interface Place {
  record: EndpointRecord;
  waitMs: number;
  serviceMs: number;
  /** Prompt tokens that the endpoint must read for it. */
  readTokens: number;
  /** Prompt tokens ahead of it. */
  tokensAhead: number;
  /** Requests of all routers at the endpoint. */
  requestsAhead: number;
  hasFreeSlot: boolean;
}

/** What a request waits for at most, and on whose behalf. */
export interface AdmissionRequest {
  route: Route;
  deadlineMs: number;
  leftMs: number;
  isOverShare: boolean;
}

/** Places and admits requests. */
export class CallPlacement {
  private readonly state: RouterState;
  private readonly usualDeadlines = new Map<string, number>();

  constructor(state: RouterState) {
    this.state = state;
  }

  /** The best endpoint for a request; undefined where there is none. */
  place(request: PlacementRequest): Place | undefined {
    const takers = this.state.endpoints
      .takers(request.pool)
      .filter(({ name }) => !request.excluded.has(name));
    const places = new Map<Candidate, Place>();
    for (const record of takers) {
      const { candidate, place } = this.assess(record, request);
      places.set(candidate, place);
    }
    const { prompt } = request;
    const affinity = prompt === undefined ? undefined : affinityKey(prompt);
    const best = placeRequest(affinity, [...places.keys()]);
    return best === undefined ? undefined : places.get(best);
  }

  /** Whether a request is accepted at its place. */
  admit(request: AdmissionRequest, place: Place): Admission {
    const { route, deadlineMs, leftMs, isOverShare } = request;
    const usual = Math.max(this.usualDeadlines.get(route.name) ?? 0, deadlineMs);
    this.usualDeadlines.set(route.name, usual);
    const input = {
      waitMs: place.waitMs,
      serviceMs: place.serviceMs,
      objectiveMs: route.objectiveMs,
      leftMs,
      isOverShare,
      isReturning: deadlineMs < usual * RETURNING_SHARE,
    };
    return admitRequest(input, Math.random());
  }

  private assess(
    record: EndpointRecord,
    request: PlacementRequest,
  ): { candidate: Candidate; place: Place } {
    const batch = this.state.routes?.findPool(request.pool)?.batch;
    const { prompt } = request;
    const isModel = batch !== undefined && prompt !== undefined;
    return isModel ? this.assessModel(record, prompt, batch.cacheTokens) : this.assessPlain(record);
  }

  private assessModel(
    record: EndpointRecord,
    prompt: Prompt,
    cacheTokens: number,
  ): { candidate: Candidate; place: Place } {
    const now = this.state.clock.monotonic();
    const speed = this.state.speedOf(record.endpoint.pool);
    const share = record.load.totalShare(now);
    const missing = this.state.memory.missingTokens(record.name, partsOf(prompt));
    const readTokens = Math.max(0, prompt.inputTokens - sharedTokens(prompt)) + missing;
    const requestsAhead = share.reading + share.running;
    const isFull = share.heldTokens + prompt.inputTokens > cacheTokens * HELD_SHARE;
    const slotWait = this.slotWait(record, requestsAhead, isFull);
    const waitMs = speed.readMs(record.name, share.readTokens) + slotWait;
    const candidate: Candidate = {
      name: record.name,
      waitMs,
      readMs: speed.readMs(record.name, readTokens),
      sharedReadMs: speed.readMs(record.name, missing),
      isNear: record.endpoint.dataCentre === this.state.dataCentre,
      failures: record.load.recentFailures,
      isBroken: record.load.isBroken(now),
    };
    const place: Place = {
      record,
      waitMs,
      serviceMs: speed.firstEventMs(record.name, readTokens),
      readTokens,
      tokensAhead: share.readTokens,
      requestsAhead,
      hasFreeSlot: slotWait === 0,
    };
    return { candidate, place };
  }

  private assessPlain(record: EndpointRecord): { candidate: Candidate; place: Place } {
    const now = this.state.clock.monotonic();
    const speed = this.state.speedOf(record.endpoint.pool);
    const share = record.load.totalShare(now);
    const requestsAhead = share.reading + share.running;
    const slotWait = this.slotWait(record, requestsAhead, false);
    const serviceMs = speed.firstEventMs(record.name, 0);
    const candidate: Candidate = {
      name: record.name,
      waitMs: slotWait + requestsAhead * TIE_MS,
      readMs: serviceMs,
      sharedReadMs: 0,
      isNear: record.endpoint.dataCentre === this.state.dataCentre,
      failures: record.load.recentFailures,
      isBroken: record.load.isBroken(now),
    };
    const place: Place = {
      record,
      waitMs: slotWait,
      serviceMs,
      readTokens: 0,
      tokensAhead: 0,
      requestsAhead,
      hasFreeSlot: slotWait === 0,
    };
    return { candidate, place };
  }

  /** Time until a slot is free, in ms: requests end one after the other. */
  private slotWait(record: EndpointRecord, requestsAhead: number, isFull: boolean): number {
    const { slots, pool } = record.endpoint;
    const excess = requestsAhead - slots + 1;
    if (excess <= 0 && !isFull) return 0;
    const meanMs = this.state.speedOf(pool).meanDurationMs;
    return (Math.max(1, excess) * meanMs) / Math.max(1, slots);
  }
}
