/** Plays arrivals through engines and a policy in simulated time, with callers that come back once. */
import { EngineModel } from './engine-model.ts';
import type { EngineRun, EngineParameters } from './engine-model.ts';
import { RequestOutcome } from './credit.ts';
import type { FinishedRequest } from './credit.ts';
import type { RoutingPolicy } from './routing-policy.ts';
import type { Arrival } from './workload.ts';

/** Share of the time that a caller has left which it waits at most before it comes back. */
const RETURN_SHARE = 1 / 3;

/** Longest time between two looks at the clock, in ms. */
const TICK_MS = 100;

/** Options of `replay`. */
export interface ReplayOptions {
  arrivals: readonly Arrival[];
  engines: number;
  engineParameters: EngineParameters;
  policy: RoutingPolicy;
}

/** What a run came to. */
export interface ReplayResult {
  finished: FinishedRequest[];
  prefilledTokens: number;
  /** Shared tokens that were read though an engine had read them before. */
  repeatedPrefillTokens: number;
}

/** A request under way. */
interface OpenRequest {
  arrival: Arrival;
  run: EngineRun | undefined;
  engine: number;
  firstAt: number | undefined;
}

/** Plays a run to its end. */
export function replay(options: ReplayOptions): ReplayResult {
  return new Replay(options).run();
}

class Replay {
  private readonly options: ReplayOptions;
  private readonly engines: EngineModel[];
  private readonly open = new Map<number, OpenRequest>();
  private readonly settled: FinishedRequest[] = [];
  private returns: { at: number; arrival: Arrival }[] = [];

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
    let tickAt = 0;
    for (;;) {
      const arrival = arrivals[next];
      const isOver = arrival === undefined && this.open.size === 0 && this.returns.length === 0;
      if (isOver) return this.result();
      const [back] = this.returns;
      const engineAt = Math.min(...this.engines.map(({ nextStepEndsAt }) => nextStepEndsAt));
      const now = Math.min(
        arrival?.atMs ?? Number.POSITIVE_INFINITY,
        back?.at ?? Number.POSITIVE_INFINITY,
        engineAt,
        tickAt,
      );
      if (now === tickAt) {
        policy.tick(now);
        this.leave(now);
        tickAt += TICK_MS;
      } else if (now === arrival?.atMs) {
        next += 1;
        this.offer(arrival, false, now);
      } else if (now === back?.at) {
        this.returns.shift();
        this.offer(back.arrival, true, now);
      } else this.stepEngines(now);
    }
  }

  private offer(arrival: Arrival, isRetry: boolean, now: number): void {
    const { policy } = this.options;
    const remainingMs = arrival.atMs + arrival.kind.deadlineMs - now;
    const decision = policy.decide(arrival, { isRetry, remainingMs, now }, this.engines);
    const engine =
      decision.engineIndex === undefined ? undefined : this.engines[decision.engineIndex];
    if (engine !== undefined && decision.engineIndex !== undefined) {
      const run = engine.submit(arrival.id, arrival.prompt, now);
      const request = { arrival, run, engine: decision.engineIndex, firstAt: undefined };
      this.open.set(arrival.id, request);
      return;
    }
    if (isRetry) {
      this.settled.push({ arrival, outcome: RequestOutcome.Refused });
      return;
    }
    const at = now + Math.min(decision.retryAfterMs, remainingMs * RETURN_SHARE);
    this.returns.push({ at, arrival });
    this.returns.sort((a, b) => a.at - b.at);
  }

  private stepEngines(now: number): void {
    for (const engine of this.engines) {
      if (engine.nextStepEndsAt > now) continue;
      const { started, ended } = engine.completeStep(now);
      for (const { id } of started) this.noteStarted(id, now);
      for (const { id } of ended) this.noteEnded(id, now);
    }
  }

  private noteStarted(id: number, now: number): void {
    const request = this.open.get(id);
    if (request === undefined) return;
    request.firstAt = now;
    this.options.policy.recordFirstToken(request.arrival, now);
  }

  private noteEnded(id: number, now: number): void {
    const request = this.open.get(id);
    if (request === undefined) return;
    const { arrival, firstAt = now } = request;
    const isOnTime = firstAt - arrival.atMs <= arrival.kind.objectiveMs;
    this.close(request, isOnTime ? RequestOutcome.OnTime : RequestOutcome.Late, now);
  }

  /** Callers whose time is over leave. */
  private leave(now: number): void {
    for (const request of [...this.open.values()]) {
      const { arrival, run } = request;
      if (now < arrival.atMs + arrival.kind.deadlineMs) continue;
      if (run !== undefined) run.isCancelled = true;
      this.close(request, RequestOutcome.Unfinished, now);
    }
  }

  private close({ arrival }: OpenRequest, outcome: RequestOutcome, now: number): void {
    this.open.delete(arrival.id);
    this.settled.push({ arrival, outcome });
    this.options.policy.recordEnded(arrival, now);
  }

  private result(): ReplayResult {
    const prefilledTokens = this.engines.reduce((sum, { prefilled }) => sum + prefilled.tokens, 0);
    const shared = this.engines.reduce((sum, { prefilled }) => sum + prefilled.sharedTokens, 0);
    return {
      finished: this.settled,
      prefilledTokens,
      repeatedPrefillTokens: shared - this.firstReads(),
    };
  }

  /** Shared tokens that had to be read once. */
  private firstReads(): number {
    const parts = new Map<string, number>();
    for (const { prompt } of this.options.arrivals) {
      for (const { id, tokens } of prompt.segments.slice(0, -1)) parts.set(id, tokens);
    }
    return [...parts.values()].reduce((sum, tokens) => sum + tokens, 0);
  }
}
