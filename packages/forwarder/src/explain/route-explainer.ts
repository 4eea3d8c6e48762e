/**
 * Explains where a request would go now and why, without sending it. It uses the code that places and admits calls,
 * and changes nothing: no share is used, no need is told and nothing is logged as served.
 */
import { allowsHedging, hedgeDelayMs, selectPool } from '@poplarpick/decisions';
import type { Endpoint, Route, ShareUsage } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { z } from 'zod';
import { callTimeMs } from '../calls/call-deadline.ts';
import { CallPlacer, refusalReason } from '../calls/call-placer.ts';
import type { Placement, PlacementRequest } from '../calls/endpoint-evaluator.ts';
import { findRoute } from '../ingress/call-checks.ts';
import type { RouterState } from '../router-state.ts';

/** A request as an operator describes it. */
export const routeQuestionSchema = z.object({
  method: z.string().default('POST'),
  host: z.string(),
  /** Path and query. */
  target: z.string(),
  /** Name of the workspace; absent for a route that needs no key. */
  workspace: z.string().optional(),
  /** Alternating names and values of further headers, such as those that describe the prompt. */
  headers: z.array(z.string()).default([]),
  bodyBytes: z.number().nonnegative().default(0),
});

export type RouteQuestion = z.output<typeof routeQuestionSchema>;

/** An endpoint that the request could go to. Times are in ms. */
export interface ExplainedCandidate {
  endpoint: string;
  dataCentre: string;
  version: string | undefined;
  /** In tokens for a request with a prompt, in ms for another one; the lowest is selected. */
  cost: number;
  waitMs: number;
  serviceMs: number;
  /** Tokens of the shared prefix that it would have to prefill. */
  missingTokens: number;
  /** Endpoint from which it would copy cached tokens, and how many. */
  copiedFrom: string | undefined;
  copiedTokens: number;
  requestsAhead: number;
  failureRate: number;
  isUnhealthy: boolean;
  /** Its limit is used up for now. */
  isLimited: boolean;
}

/** The answer; serialised under these field names. */
export interface RouteExplanation {
  router: string;
  dataCentre: string;
  /** Addresses of all routers that this one knows to be live. */
  routers: string[];
  routesVersion: number;
  route: string;
  pool: string;
  workspace: string | undefined;
  shareUsage: ShareUsage;
  /** The endpoint that the request would go to; undefined if it would be refused. */
  endpoint: string | undefined;
  /** Why it would be refused, and after which time in ms its caller should return. */
  refusal: { reason: string; retryAfterMs: number | undefined } | undefined;
  /** Time in ms without a response after which it would be hedged; undefined if it would not. */
  hedgeAfterMs: number | undefined;
  candidates: ExplainedCandidate[];
  leftOut: { endpoint: string; dataCentre: string; reason: string }[];
}

/** Options of a `RouteExplainer`. */
export interface RouteExplainerOptions {
  /** Address of this router, as the others know it. */
  address: string;
  state: RouterState;
  /** Addresses of the other live routers. */
  routers: () => string[];
}

/** Explains the routes of requests. */
export class RouteExplainer {
  private readonly options: RouteExplainerOptions;
  private readonly placer: CallPlacer;

  constructor(options: RouteExplainerOptions) {
    this.options = options;
    this.placer = new CallPlacer(options.state);
  }

  /** Explains one request. Throws a `RequestError` if it has no route or its workspace is unknown. */
  explain(question: RouteQuestion): RouteExplanation {
    const { state, address, routers } = this.options;
    const { workspace } = question;
    const { request, route, remainingMs } = this.prepare(question);
    const candidates = this.placer.evaluator.evaluate(request);
    const costs = this.placer.costs(request, candidates);
    const shareUsage =
      workspace === undefined || request.prompt === undefined
        ? { shareUsed: 0, surplusUsed: 0 }
        : state.shares.measureUsage(workspace);
    const decision = this.decide(request, remainingMs, shareUsage);
    return {
      router: address,
      dataCentre: state.dataCentre,
      routers: [address, ...routers()],
      routesVersion: state.routes?.table.version ?? 0,
      route: route.name,
      pool: request.pool,
      workspace,
      shareUsage,
      ...decision,
      candidates: candidates
        .map((candidate, index) => this.describe(candidate, costs[index] ?? 0))
        .sort((a, b) => a.cost - b.cost),
      leftOut: this.listLeftOut(request),
    };
  }

  private decide(
    request: PlacementRequest,
    remainingMs: number,
    shareUsage: ShareUsage,
  ): Pick<RouteExplanation, 'endpoint' | 'refusal' | 'hedgeAfterMs'> {
    const best = this.placer.preview(request);
    if (best === undefined) return refused('no endpoint takes requests', undefined);
    const admission = { route: request.route, remainingMs, shareUsage, isCallerRetry: false };
    const { placement, decision } = this.placer.admitAtBest(admission, best, (maxWaitMs) =>
      this.placer.preview({ ...request, maxWaitMs }),
    );
    if (placement === undefined) return refused(refusalReason(decision), decision.retryAfterMs);
    return this.accepted(request.route, placement);
  }

  private accepted(
    route: Route,
    placement: Placement,
  ): Pick<RouteExplanation, 'endpoint' | 'refusal' | 'hedgeAfterMs'> {
    const isHedged = this.options.state.hedges.isEnabled && allowsHedging(route);
    return {
      endpoint: placement.record.endpoint.id,
      refusal: undefined,
      hedgeAfterMs: isHedged
        ? hedgeDelayMs(placement.expectedFirstEventMs, route.objectiveMs)
        : undefined,
    };
  }

  private prepare(question: RouteQuestion): {
    request: PlacementRequest;
    route: Route;
    remainingMs: number;
  } {
    const { state } = this.options;
    const { routes } = state;
    if (routes === undefined) throw createError('no routes are known yet', ErrorCode.NoEndpoint);
    const { method, target, host, headers, workspace, bodyBytes } = question;
    const rawHeaders = ['Host', host, ...state.protocol.encodeRequestId('explained'), ...headers];
    const head = state.protocol.decodeCall(method, target, rawHeaders);
    const route = findRoute(head, routes);
    if (route === undefined) throw createError('no route', ErrorCode.PathNotFound);
    if (workspace !== undefined && !routes.hasWorkspace(workspace))
      throw createError('no such workspace', ErrorCode.InvalidApiKey);
    const pool = selectPool(route, head.requestId);
    if (pool === undefined) throw createError('the route has no pool', ErrorCode.NoEndpoint);
    const allows = (endpoint: Endpoint): boolean => state.allowsRegion(endpoint, route, workspace);
    const remainingMs = callTimeMs(head, route);
    const excluded = new Set<string>();
    const request = { route, pool, prompt: head.prompt, bodyBytes, excluded, allows };
    return { request, route, remainingMs };
  }

  private describe(candidate: Placement, cost: number): ExplainedCandidate {
    const { record, transfer } = candidate;
    return {
      endpoint: record.endpoint.id,
      dataCentre: record.endpoint.dataCentre,
      version: record.endpoint.version,
      cost: Math.round(cost),
      waitMs: Math.round(candidate.waitMs),
      serviceMs: Math.round(candidate.serviceMs),
      missingTokens: Math.round(candidate.uncachedTokens),
      copiedFrom: transfer?.source.address,
      copiedTokens: transfer?.tokens ?? 0,
      requestsAhead: candidate.requestsAhead,
      failureRate: Number(candidate.failureRate.toFixed(2)),
      isUnhealthy: candidate.isUnhealthy,
      isLimited: this.options.state.limits.isExhausted(record),
    };
  }

  private listLeftOut(request: PlacementRequest): RouteExplanation['leftOut'] {
    const leftOut: RouteExplanation['leftOut'] = [];
    for (const record of this.options.state.endpoints.all()) {
      const { id, pool, dataCentre } = record.endpoint;
      if (pool !== request.pool) continue;
      const reason = this.placer.evaluator.findObstacle(record, request);
      if (reason !== undefined) leftOut.push({ endpoint: id, dataCentre, reason });
    }
    return leftOut;
  }
}

function refused(
  reason: string,
  retryAfterMs: number | undefined,
): Pick<RouteExplanation, 'endpoint' | 'refusal' | 'hedgeAfterMs'> {
  return { endpoint: undefined, refusal: { reason, retryAfterMs }, hedgeAfterMs: undefined };
}

function createError(message: string, code: ErrorCode): RequestError {
  return new RequestError(message, { code, verdict: Verdict.NotRun });
}
