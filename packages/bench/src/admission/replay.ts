/**
 * Replays arrivals against a policy and simulated engines, as a discrete-event simulation. Callers retry a
 * refused request once.
 */
import { EngineModel } from './engine-model.ts';
import type { EngineRun, EngineParameters } from './engine-model.ts';
import { RequestOutcome } from './credit.ts';
import type { FinishedRequest } from './credit.ts';
import type { RoutingPolicy } from './routing-policy.ts';
import type { Arrival } from './workload.ts';

/** Share of the time left to its deadline that a caller waits at most before its retry. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;

/** Interval at which the policy is ticked and expired requests are cancelled, in ms. */
const TICK_INTERVAL_MS = 100;

/** Options of `replay`. */
export interface ReplayOptions {
  arrivals: readonly Arrival[];
  engines: number;
  engineParameters: EngineParameters;
  policy: RoutingPolicy;
}

/** Result of a run. */
export interface ReplayResult {
  finished: FinishedRequest[];
  prefilledTokens: number;
  /** Tokens of shared prefixes that were prefilled although an engine had prefilled them before. */
  repeatedPrefillTokens: number;
}

/** A request at an engine. */
interface ActiveRequest {
  arrival: Arrival;
  run: EngineRun | undefined;
  engineIndex: number;
  firstTokenAt: number | undefined;
}

/** Runs the simulation until every request has an outcome. */
export function replay(options: ReplayOptions): ReplayResult {
  return new ReplayRun(options).run();
}

/** One simulation run. */
class ReplayRun {
  private readonly options: ReplayOptions;
  private readonly engines: EngineModel[];
  private readonly activeRequests = new Map<number, ActiveRequest>();
  private readonly finished: FinishedRequest[] = [];
  private readonly refusals = new Map<number, number[]>();
  private pendingRetries: { at: number; arrival: Arrival }[] = [];

  constructor(options: ReplayOptions) {
    this.options = options;
    this.engines = Array.from(
      { length: options.engines },
      () => new EngineModel(options.engineParameters),
    );
  }

  run(): ReplayResult {
    const { arrivals, policy } = this.options;
    let next = 0;
    let nextTickAt = 0;
    for (;;) {
      const arrival = arrivals[next];
      const isOver =
        arrival === undefined && this.activeRequests.size === 0 && this.pendingRetries.length === 0;
      if (isOver) return this.buildResult();
      const [retry] = this.pendingRetries;
      const stepEndsAt = Math.min(...this.engines.map(({ nextStepEndsAt }) => nextStepEndsAt));
      const now = Math.min(
        arrival?.atMs ?? Number.POSITIVE_INFINITY,
        retry?.at ?? Number.POSITIVE_INFINITY,
        stepEndsAt,
        nextTickAt,
      );
      if (now === nextTickAt) {
        policy.tick(now);
        this.cancelExpired(now);
        nextTickAt += TICK_INTERVAL_MS;
      } else if (now === arrival?.atMs) {
        next += 1;
        this.submit(arrival, false, now);
      } else if (now === retry?.at) {
        this.pendingRetries.shift();
        const routerIndex = retry.arrival.retryRouterIndex;
        this.submit({ ...retry.arrival, routerIndex }, true, now);
      } else this.stepEngines(now);
    }
  }

  private submit(arrival: Arrival, isRetry: boolean, now: number): void {
    const { policy } = this.options;
    const remainingMs = arrival.atMs + arrival.deadlineMs - now;
    const decision = policy.decide(arrival, { isRetry, remainingMs, now }, this.engines);
    const engine =
      decision.engineIndex === undefined ? undefined : this.engines[decision.engineIndex];
    if (engine !== undefined && decision.engineIndex !== undefined) {
      const run = engine.submit(arrival.id, arrival.prompt, now);
      const request = { arrival, run, engineIndex: decision.engineIndex, firstTokenAt: undefined };
      this.activeRequests.set(arrival.id, request);
      return;
    }
    const refusedAt = [...(this.refusals.get(arrival.id) ?? []), now];
    this.refusals.set(arrival.id, refusedAt);
    if (isRetry) {
      const outcome = RequestOutcome.Refused;
      this.finished.push({ arrival, outcome, firstTokenAt: undefined, refusedAt });
      return;
    }
    const at = now + Math.min(decision.retryAfterMs, remainingMs * MAX_RETRY_WAIT_SHARE);
    this.pendingRetries.push({ at, arrival });
    this.pendingRetries.sort((a, b) => a.at - b.at);
  }

  private stepEngines(now: number): void {
    for (const engine of this.engines) {
      if (engine.nextStepEndsAt > now) continue;
      const { started, ended } = engine.completeStep(now);
      for (const { id } of started) this.recordFirstToken(id, now);
      for (const { id } of ended) this.recordEnded(id, now);
    }
  }

  private recordFirstToken(id: number, now: number): void {
    const request = this.activeRequests.get(id);
    if (request === undefined) return;
    request.firstTokenAt = now;
    this.options.policy.recordFirstToken(request.arrival, now);
  }

  private recordEnded(id: number, now: number): void {
    const request = this.activeRequests.get(id);
    if (request === undefined) return;
    const { arrival, firstTokenAt = now } = request;
    const isOnTime = firstTokenAt - arrival.atMs <= arrival.kind.objectiveMs;
    this.finish(request, isOnTime ? RequestOutcome.OnTime : RequestOutcome.Late, now);
  }

  /** Cancels the requests whose deadline has passed. */
  private cancelExpired(now: number): void {
    for (const request of [...this.activeRequests.values()]) {
      const { arrival, run } = request;
      if (now < arrival.atMs + arrival.deadlineMs) continue;
      if (run !== undefined) run.isCancelled = true;
      this.finish(request, RequestOutcome.Unfinished, now);
    }
  }

  private finish(request: ActiveRequest, outcome: RequestOutcome, now: number): void {
    const { arrival, firstTokenAt } = request;
    this.activeRequests.delete(arrival.id);
    const refusedAt = this.refusals.get(arrival.id) ?? [];
    this.finished.push({ arrival, outcome, firstTokenAt, refusedAt });
    this.options.policy.recordEnded(arrival, now);
  }

  private buildResult(): ReplayResult {
    const prefilledTokens = this.engines.reduce((sum, { prefilled }) => sum + prefilled.tokens, 0);
    const shared = this.engines.reduce((sum, { prefilled }) => sum + prefilled.sharedTokens, 0);
    return {
      finished: this.finished,
      prefilledTokens,
      repeatedPrefillTokens: shared - this.distinctSharedTokens(),
    };
  }

  /** Tokens of distinct shared prefixes, each of which must be prefilled at least once. */
  private distinctSharedTokens(): number {
    const tokensBySegment = new Map<string, number>();
    for (const { prompt } of this.options.arrivals) {
      for (const { id, tokens } of prompt.segments.slice(0, -1)) tokensBySegment.set(id, tokens);
    }
    return [...tokensBySegment.values()].reduce((sum, tokens) => sum + tokens, 0);
  }
}
