/**
 * Selects an endpoint for a call and decides on its admission, from the estimates of an `EndpointEvaluator` and from
 * how much of its shares the call's workspace has used.
 */
import {
  affinityKey,
  cheapest,
  decideAdmission,
  plainCosts,
  promptCosts,
} from '@poplarpick/decisions';
import type { AdmissionDecision, Route, ShareUsage } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import { EndpointEvaluator, weighTokens } from './endpoint-evaluator.ts';
import type { Placement, PlacementRequest } from './endpoint-evaluator.ts';

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

/** Where a request is admitted. */
export interface AdmissionResult {
  /** Undefined if the request is refused. */
  placement: Placement | undefined;
  /** The decision at its best endpoint. */
  decision: AdmissionDecision;
}

/** Why a request is refused. */
export function refusalReason({ isForShare }: AdmissionDecision): string {
  return isForShare ? 'the workspace has had its share' : 'the wait is too long';
}

/** Selects endpoints for requests and admits them. */
export class CallPlacer {
  readonly evaluator: EndpointEvaluator;
  private readonly state: RouterState;

  constructor(state: RouterState) {
    this.state = state;
    this.evaluator = new EndpointEvaluator(state);
  }

  /** Selects the best endpoint for a request; undefined if none is available. */
  place(request: PlacementRequest): Placement | undefined {
    const candidates = this.evaluator.evaluate(request);
    return this.selectWithinLimits(request, candidates, (best) =>
      this.state.limits.recordDiverted(best.record),
    );
  }

  /** The endpoint that `place` would select, without counting what the request needs. */
  preview(request: PlacementRequest): Placement | undefined {
    return this.selectWithinLimits(request, this.evaluator.evaluate(request));
  }

  /** Cost of each candidate, in tokens for a request with a prompt and in ms for another one. */
  costs(request: PlacementRequest, candidates: readonly Placement[]): number[] {
    const { prompt, bodyBytes, pool } = request;
    const batch = this.state.routes?.findPool(pool)?.batch;
    if (batch === undefined || prompt === undefined) return plainCosts(candidates);
    const { objectiveMs } = request.route;
    const weightedTokens = weighTokens(prompt);
    const placement = { affinityKey: affinityKey(prompt), weightedTokens, bodyBytes, objectiveMs };
    return promptCosts(placement, candidates);
  }

  /** Decides whether a request is admitted at its endpoint. */
  admit(request: AdmissionRequest, placement: Placement): AdmissionDecision {
    const { route, remainingMs, shareUsage, isCallerRetry, isResumption = false } = request;
    const { waitMs, serviceMs, record } = placement;
    const { pool } = record.endpoint;
    const now = this.state.clock.monotonic();
    return decideAdmission(
      {
        waitMs,
        serviceMs,
        objectiveMs: route.objectiveMs,
        queueObjectiveMs: this.state.routes?.shortestObjectiveMs(pool),
        remainingMs,
        shareUsage,
        surplusWaitLimit: this.state.surplusWaitLimit(pool),
        isCallerRetry,
        isResumption,
        paceUsed: this.state.pools.streamPace(pool).paceUsed(record.incarnation, now),
      },
      this.state.random(),
    );
  }

  /**
   * Admits a request at the best endpoint or, if it is within its share and its wait there is too long, at the best
   * one that `selectWithin` finds with a wait that isn't. Refused for its share, it would take what others are due
   * there.
   */
  admitAtBest(
    request: AdmissionRequest,
    best: Placement,
    selectWithin: (maxWaitMs: number) => Placement | undefined,
  ): AdmissionResult {
    const decision = this.admit(request, best);
    if (decision.isAccepted) return { placement: best, decision };
    const other = decision.isForShare ? undefined : selectWithin(decision.waitLimitMs);
    const isAccepted = other !== undefined && this.admit(request, other).isAccepted;
    return { placement: isAccepted ? other : undefined, decision };
  }

  /** Selects the best candidate, or if its limit is used up, the best one of those that take a request now. */
  private selectWithinLimits(
    request: PlacementRequest,
    candidates: readonly Placement[],
    onDiverted?: (best: Placement) => void,
  ): Placement | undefined {
    const { limits } = this.state;
    const best = this.selectBest(request, candidates);
    if (best === undefined || !limits.isExhausted(best.record)) return best;
    onDiverted?.(best);
    const eligible = candidates.filter(({ record }) => !limits.isExhausted(record));
    return this.selectBest(request, eligible);
  }

  private selectBest(
    request: PlacementRequest,
    candidates: readonly Placement[],
  ): Placement | undefined {
    return cheapest(candidates, this.costs(request, candidates));
  }
}
