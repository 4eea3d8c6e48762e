/**
 * Simulates the arrivals of a run under another scheduling policy, with the true costs and without
 * delay between nodes. The ideal is one global fair queue that knows every cost in advance; the other
 * policies are baselines to compare the fleet with.
 */
import { CostEstimator } from '@poplarpick/decisions';
import type { Arrival } from './arrivals.ts';
import { PROMPT_COST } from './run-trace.ts';
import type { RunTrace, Span, TracedRequest } from './run-trace.ts';

/** Scheduling policy of a replay. */
export enum ReplayPolicy {
  /** One fair queue: the workspace with the least service per weight is next; costs are known in advance. */
  GlobalQueue = 'global-queue',
  /** The same, but costs are estimated from `max_tokens`, as in the fleet, and corrected at the end. */
  GlobalQueueWithHints = 'global-queue-with-hints',
  /** One queue in order of arrival. */
  FirstComeFirstServed = 'first-come-first-served',
  /** Routers take turns; each has a fair queue that counts only the service of its own requests. */
  FairPerRouter = 'fair-per-router',
  /** Each arriving request is assigned to the next engine in turn and waits in that engine's queue. */
  RoundRobinPush = 'round-robin-push',
}

/** A simulated engine. */
export interface ReplayEngine {
  slots: number;
}

/** Options of `replayArrivals`. */
export interface ReplayArrivalsOptions {
  arrivals: readonly Arrival[];
  weights: Map<string, number>;
  engines: readonly ReplayEngine[];
  /** Milliseconds per output token. */
  stepMs: number;
  policy: ReplayPolicy;
}

/** Trace of a replay, with the start and end time of each request. */
export interface Replay extends RunTrace {
  requests: (TracedRequest & { startedAt: number; endedAt: number })[];
}

/** Mean wait, in steps, until a request joins the batch, since it can start only between two steps. */
const JOIN_STEPS = 0.5;

/** Queue of waiting requests that decides what a free slot of an engine runs next. */
abstract class ReplayQueue {
  abstract enqueue(arrival: Arrival): void;
  abstract dequeue(engine: number): Arrival | undefined;

  /** Records the end of a request. */
  abstract complete(arrival: Arrival): void;
}

class FifoQueue extends ReplayQueue {
  private readonly waiting: Arrival[] = [];

  override enqueue(arrival: Arrival): void {
    this.waiting.push(arrival);
  }

  override dequeue(): Arrival | undefined {
    return this.waiting.shift();
  }

  override complete(): void {
    return;
  }
}

/** Start-time fair queueing: the whole cost, estimated or true, is charged when a request starts. */
class FairQueue extends ReplayQueue {
  private readonly weights: Map<string, number>;
  private readonly estimator: CostEstimator | undefined;
  private readonly chargedCosts = new Map<Arrival, number>();
  private readonly queues = new Map<string, Arrival[]>();
  /** Cost per weight charged to each workspace so far. */
  private readonly virtualTimes = new Map<string, number>();
  /** Lower bound on the virtual time of a workspace that becomes backlogged. */
  private systemVirtualTime = 0;

  constructor(weights: Map<string, number>, estimator?: CostEstimator) {
    super();
    this.weights = weights;
    this.estimator = estimator;
  }

  override enqueue(arrival: Arrival): void {
    const { workspace } = arrival;
    const queue = this.queues.get(workspace);
    if (queue !== undefined) {
      queue.push(arrival);
      return;
    }
    this.queues.set(workspace, [arrival]);
    this.virtualTimes.set(
      workspace,
      Math.max(this.systemVirtualTime, this.virtualTimes.get(workspace) ?? 0),
    );
  }

  override dequeue(): Arrival | undefined {
    const [least] = [...this.queues.keys()].sort(
      (a, b) => this.getVirtualTime(a) - this.getVirtualTime(b),
    );
    if (least === undefined) return undefined;
    const queue = this.queues.get(least) ?? [];
    const arrival = queue.shift();
    if (queue.length === 0) this.queues.delete(least);
    if (arrival === undefined) return undefined;
    this.systemVirtualTime = Math.max(this.systemVirtualTime, this.getVirtualTime(least));
    const cost = this.estimator?.estimate(least, arrival.maxTokens) ?? computeCost(arrival);
    this.chargedCosts.set(arrival, cost);
    this.charge(least, cost);
    return arrival;
  }

  override complete(arrival: Arrival): void {
    const { workspace, maxTokens } = arrival;
    const cost = computeCost(arrival);
    this.charge(workspace, cost - (this.chargedCosts.get(arrival) ?? cost));
    this.chargedCosts.delete(arrival);
    this.estimator?.recordCost(workspace, cost, maxTokens);
  }

  private charge(workspace: string, cost: number): void {
    const weight = this.weights.get(workspace) ?? 1;
    this.virtualTimes.set(workspace, this.getVirtualTime(workspace) + cost / weight);
  }

  private getVirtualTime(workspace: string): number {
    return this.virtualTimes.get(workspace) ?? 0;
  }
}

class FairQueuePerRouter extends ReplayQueue {
  private readonly weights: Map<string, number>;
  private readonly routers: FairQueue[] = [];
  private lastRouter = 0;

  constructor(weights: Map<string, number>) {
    super();
    this.weights = weights;
  }

  override enqueue(arrival: Arrival): void {
    while (this.routers.length <= arrival.router) this.routers.push(new FairQueue(this.weights));
    this.routers[arrival.router]?.enqueue(arrival);
  }

  override dequeue(): Arrival | undefined {
    const first = this.lastRouter + 1;
    for (const router of [...this.routers.slice(first), ...this.routers.slice(0, first)]) {
      this.lastRouter = (this.lastRouter + 1) % this.routers.length;
      const arrival = router.dequeue();
      if (arrival !== undefined) return arrival;
    }
    return undefined;
  }

  override complete(arrival: Arrival): void {
    this.routers[arrival.router]?.complete(arrival);
  }
}

class RoundRobinQueues extends ReplayQueue {
  private readonly queues: Arrival[][];
  private lastEngine = 0;

  constructor(engines: number) {
    super();
    this.queues = Array.from({ length: engines }, () => []);
  }

  override enqueue(arrival: Arrival): void {
    this.lastEngine = (this.lastEngine + 1) % this.queues.length;
    this.queues[this.lastEngine]?.push(arrival);
  }

  override dequeue(engine: number): Arrival | undefined {
    return this.queues[engine]?.shift();
  }

  override complete(): void {
    return;
  }
}

/** Simulates the arrivals until all requests have ended. */
export function replayArrivals(options: ReplayArrivalsOptions): Replay {
  const { arrivals, engines, stepMs, weights } = options;
  const queue = createQueue(options);
  const freeSlots = engines.map(({ slots }) => slots);
  const running: { endsAt: number; engine: number; arrival: Arrival }[] = [];
  const requests: Replay['requests'] = [];
  let now = 0;
  const startRequests = (): void => {
    for (let engine = 0; engine < engines.length; engine += 1) {
      while ((freeSlots[engine] ?? 0) > 0) {
        const arrival = queue.dequeue(engine);
        if (arrival === undefined) break;
        const request = simulateRequest(arrival, now, stepMs);
        freeSlots[engine] = (freeSlots[engine] ?? 0) - 1;
        requests.push(request);
        running.push({ endsAt: request.endedAt, engine, arrival });
      }
    }
    running.sort((a, b) => a.endsAt - b.endsAt);
  };
  let next = 0;
  while (next < arrivals.length || running.length > 0) {
    const arrival = arrivals[next];
    const [nextToEnd] = running;
    if (
      nextToEnd !== undefined &&
      (arrival === undefined || nextToEnd.endsAt <= arrival.arrivalMs)
    ) {
      now = nextToEnd.endsAt;
      running.shift();
      queue.complete(nextToEnd.arrival);
      freeSlots[nextToEnd.engine] = (freeSlots[nextToEnd.engine] ?? 0) + 1;
    } else if (arrival !== undefined) {
      now = arrival.arrivalMs;
      next += 1;
      queue.enqueue(arrival);
    }
    startRequests();
  }
  return { requests, weights };
}

/** Computes the busy share of all slots within a span. */
export function computeReplayUtilisation(
  replay: Replay,
  engines: readonly ReplayEngine[],
  span: Span,
): number {
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
  const busy = replay.requests.reduce((sum, { startedAt, endedAt }) => {
    const overlap = Math.min(endedAt, span.toMs) - Math.max(startedAt, span.fromMs);
    return sum + Math.max(0, overlap);
  }, 0);
  return busy / (slots * (span.toMs - span.fromMs));
}

function createQueue({ policy, weights, engines }: ReplayArrivalsOptions): ReplayQueue {
  switch (policy) {
    case ReplayPolicy.GlobalQueue:
      return new FairQueue(weights);
    case ReplayPolicy.GlobalQueueWithHints:
      return new FairQueue(weights, new CostEstimator());
    case ReplayPolicy.FirstComeFirstServed:
      return new FifoQueue();
    case ReplayPolicy.FairPerRouter:
      return new FairQueuePerRouter(weights);
    case ReplayPolicy.RoundRobinPush:
      return new RoundRobinQueues(engines.length);
  }
}

function computeCost({ outputTokens }: Arrival): number {
  return outputTokens + PROMPT_COST;
}

function simulateRequest(arrival: Arrival, startedAt: number, stepMs: number) {
  const tokensAt = Array.from(
    { length: arrival.outputTokens },
    (_, index) => startedAt + (index + 1 + JOIN_STEPS) * stepMs,
  );
  return { arrival, tokensAt, startedAt, endedAt: tokensAt.at(-1) ?? startedAt };
}
