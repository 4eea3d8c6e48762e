/**
 * Replays the arrivals of a run offline under another policy, with the true costs and without any
 * delay between the nodes. The ideal is one global queue that knows every cost beforehand; the
 * others are the baselines that the fleet is compared with.
 */
import { CostEstimator } from '@poplarpick/decisions';
import type { Arrival } from './arrivals.ts';
import { PROMPT_COST } from './run-trace.ts';
import type { RunTrace, Span, TracedRequest } from './run-trace.ts';

/** What a replay runs under. */
export enum ReplayPolicy {
  /** Least service for its weight among all backlogged workspaces, every cost known beforehand. */
  GlobalQueue = 'global-queue',
  /** The same, but costs are expected from hints and learned as the fleet does, and corrected at the end. */
  GlobalQueueWithHints = 'global-queue-with-hints',
  /** One queue in the order of arrival. */
  FirstComeFirstServed = 'first-come-first-served',
  /** Routers in turn; each serves the least served of its own workspaces, by its own count. */
  FairPerRouter = 'fair-per-router',
  /** Each request goes to the next engine when it arrives, and waits there. */
  RoundRobinPush = 'round-robin-push',
}

/** An engine of a replay. */
export interface ReplayEngine {
  slots: number;
}

/** Options of `replayArrivals`. */
export interface ReplayArrivalsOptions {
  arrivals: readonly Arrival[];
  weights: Map<string, number>;
  engines: readonly ReplayEngine[];
  /** Time of one output token. */
  stepMs: number;
  policy: ReplayPolicy;
}

/** A replayed run with the time at which each request started. */
export interface Replay extends RunTrace {
  requests: (TracedRequest & { startedAt: number; endedAt: number })[];
}

/** Steps that a request takes beside its tokens: it joins within a step of the batch. */
const JOIN_STEPS = 0.5;

/** Chooses what a free slot of an engine runs next. */
abstract class ReplayQueue {
  abstract push(arrival: Arrival): void;
  abstract take(engine: number): Arrival | undefined;

  /** Notes that a request has ended. */
  abstract end(arrival: Arrival): void;
}

class ArrivalOrder extends ReplayQueue {
  private readonly waiting: Arrival[] = [];

  override push(arrival: Arrival): void {
    this.waiting.push(arrival);
  }

  override take(): Arrival | undefined {
    return this.waiting.shift();
  }

  override end(): void {
    return;
  }
}

/** Start-time fair queueing: a charge at the start of the whole cost, expected or true. */
class LeastServed extends ReplayQueue {
  private readonly weights: Map<string, number>;
  private readonly estimator: CostEstimator | undefined;
  private readonly charged = new Map<Arrival, number>();
  private readonly lines = new Map<string, Arrival[]>();
  private readonly virtual = new Map<string, number>();
  private floor = 0;

  constructor(weights: Map<string, number>, estimator?: CostEstimator) {
    super();
    this.weights = weights;
    this.estimator = estimator;
  }

  override push(arrival: Arrival): void {
    const { workspace } = arrival;
    const line = this.lines.get(workspace);
    if (line !== undefined) {
      line.push(arrival);
      return;
    }
    this.lines.set(workspace, [arrival]);
    this.virtual.set(workspace, Math.max(this.floor, this.virtual.get(workspace) ?? 0));
  }

  override take(): Arrival | undefined {
    const [least] = [...this.lines.keys()].sort((a, b) => this.read(a) - this.read(b));
    if (least === undefined) return undefined;
    const line = this.lines.get(least) ?? [];
    const arrival = line.shift();
    if (line.length === 0) this.lines.delete(least);
    if (arrival === undefined) return undefined;
    this.floor = Math.max(this.floor, this.read(least));
    const cost = this.estimator?.estimate(least, arrival.maxTokens) ?? costOf(arrival);
    this.charged.set(arrival, cost);
    this.charge(least, cost);
    return arrival;
  }

  override end(arrival: Arrival): void {
    const { workspace, maxTokens } = arrival;
    const cost = costOf(arrival);
    this.charge(workspace, cost - (this.charged.get(arrival) ?? cost));
    this.charged.delete(arrival);
    this.estimator?.recordCost(workspace, cost, maxTokens);
  }

  private charge(workspace: string, cost: number): void {
    const weight = this.weights.get(workspace) ?? 1;
    this.virtual.set(workspace, this.read(workspace) + cost / weight);
  }

  private read(workspace: string): number {
    return this.virtual.get(workspace) ?? 0;
  }
}

class RoutersInTurn extends ReplayQueue {
  private readonly weights: Map<string, number>;
  private readonly routers: LeastServed[] = [];
  private turn = 0;

  constructor(weights: Map<string, number>) {
    super();
    this.weights = weights;
  }

  override push(arrival: Arrival): void {
    while (this.routers.length <= arrival.router) this.routers.push(new LeastServed(this.weights));
    this.routers[arrival.router]?.push(arrival);
  }

  override take(): Arrival | undefined {
    const first = this.turn + 1;
    for (const router of [...this.routers.slice(first), ...this.routers.slice(0, first)]) {
      this.turn = (this.turn + 1) % this.routers.length;
      const arrival = router.take();
      if (arrival !== undefined) return arrival;
    }
    return undefined;
  }

  override end(arrival: Arrival): void {
    this.routers[arrival.router]?.end(arrival);
  }
}

class PushInTurn extends ReplayQueue {
  private readonly queues: Arrival[][];
  private turn = 0;

  constructor(engines: number) {
    super();
    this.queues = Array.from({ length: engines }, () => []);
  }

  override push(arrival: Arrival): void {
    this.turn = (this.turn + 1) % this.queues.length;
    this.queues[this.turn]?.push(arrival);
  }

  override take(engine: number): Arrival | undefined {
    return this.queues[engine]?.shift();
  }

  override end(): void {
    return;
  }
}

/** Replays arrivals until all have run. */
export function replayArrivals(options: ReplayArrivalsOptions): Replay {
  const { arrivals, engines, stepMs, weights } = options;
  const queue = makeQueue(options);
  const free = engines.map(({ slots }) => slots);
  const running: { endsAt: number; engine: number; arrival: Arrival }[] = [];
  const requests: Replay['requests'] = [];
  let now = 0;
  const startAll = (): void => {
    for (let engine = 0; engine < engines.length; engine += 1) {
      while ((free[engine] ?? 0) > 0) {
        const arrival = queue.take(engine);
        if (arrival === undefined) break;
        const run = runAt(arrival, now, stepMs);
        free[engine] = (free[engine] ?? 0) - 1;
        requests.push(run);
        running.push({ endsAt: run.endedAt, engine, arrival });
      }
    }
    running.sort((a, b) => a.endsAt - b.endsAt);
  };
  let next = 0;
  while (next < arrivals.length || running.length > 0) {
    const arrival = arrivals[next];
    const [first] = running;
    if (first !== undefined && (arrival === undefined || first.endsAt <= arrival.arrivalMs)) {
      now = first.endsAt;
      running.shift();
      queue.end(first.arrival);
      free[first.engine] = (free[first.engine] ?? 0) + 1;
    } else if (arrival !== undefined) {
      now = arrival.arrivalMs;
      next += 1;
      queue.push(arrival);
    }
    startAll();
  }
  return { requests, weights };
}

/** Busy share of the slots within a span. */
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

function makeQueue({ policy, weights, engines }: ReplayArrivalsOptions): ReplayQueue {
  switch (policy) {
    case ReplayPolicy.GlobalQueue:
      return new LeastServed(weights);
    case ReplayPolicy.GlobalQueueWithHints:
      return new LeastServed(weights, new CostEstimator());
    case ReplayPolicy.FirstComeFirstServed:
      return new ArrivalOrder();
    case ReplayPolicy.FairPerRouter:
      return new RoutersInTurn(weights);
    case ReplayPolicy.RoundRobinPush:
      return new PushInTurn(engines.length);
  }
}

function costOf({ outputTokens }: Arrival): number {
  return outputTokens + PROMPT_COST;
}

function runAt(arrival: Arrival, startedAt: number, stepMs: number) {
  const tokensAt = Array.from(
    { length: arrival.outputTokens },
    (_, index) => startedAt + (index + 1 + JOIN_STEPS) * stepMs,
  );
  return { arrival, tokensAt, startedAt, endedAt: tokensAt.at(-1) ?? startedAt };
}
