/** What a router knows of each pool besides its endpoints: latencies, the pace of streams, surplus and retries. */
import {
  LatencyEstimator,
  SharedRetryBudget,
  StreamPace,
  SurplusLimiter,
} from '@poplarpick/decisions';
import type { EndpointRecord } from './endpoints/endpoint-directory.ts';

/** Options of `PoolStates`. */
export interface PoolStatesOptions {
  /** Retries allowed per request, over all routers. */
  retryRatio: number;
  /** Retries allowed per window on top of the ratio, over all routers. */
  retrySlack: number;
  /** Length of the window of the retry budget, in ms. */
  retryWindowMs: number;
}

/** The states of the pools by name, each created when it is first asked for. */
export class PoolStates {
  readonly surplusLimiters = new Map<string, SurplusLimiter>();
  private readonly options: PoolStatesOptions;
  private readonly latencyEstimators = new Map<string, LatencyEstimator>();
  private readonly streamPaces = new Map<string, StreamPace>();
  private readonly retryBudgets = new Map<string, SharedRetryBudget>();

  constructor(options: PoolStatesOptions) {
    this.options = options;
  }

  /** Retries that are left in the budgets of all pools. */
  get remainingRetries(): number {
    let total = 0;
    for (const budget of this.retryBudgets.values()) total += budget.remaining;
    return total;
  }

  latencyEstimator(pool: string): LatencyEstimator {
    return getOrCreate(this.latencyEstimators, pool, () => new LatencyEstimator());
  }

  streamPace(pool: string): StreamPace {
    return getOrCreate(this.streamPaces, pool, () => new StreamPace());
  }

  surplusLimiter(pool: string): SurplusLimiter {
    return getOrCreate(this.surplusLimiters, pool, () => new SurplusLimiter());
  }

  retryBudget(pool: string): SharedRetryBudget {
    const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = this.options;
    return getOrCreate(
      this.retryBudgets,
      pool,
      () => new SharedRetryBudget({ ratio, slack, windowMs }),
    );
  }

  /** Forgets an endpoint that is gone. */
  removeEndpoint({ endpoint, incarnation }: EndpointRecord): void {
    this.latencyEstimator(endpoint.pool).removeEndpoint(incarnation);
    this.streamPace(endpoint.pool).removeEndpoint(incarnation);
  }
}

function getOrCreate<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const created = create();
  map.set(key, created);
  return created;
}
