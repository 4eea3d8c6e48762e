/**
 * Expected cost of a request, from the hint of its caller and from what ended requests have cost. The
 * usual ratio of cost to hint is learned for each workspace, from sums that fade; until a workspace
 * is known, that of all workspaces holds, and before any request has ended the hint itself.
 * Requests without a hint are expected to cost the mean of their workspace.
 */

/** Options of a `CostEstimator`. */
export interface CostEstimatorOptions {
  /** Cost that is expected where nothing is known. */
  defaultCost?: number;
  /** Part of the sums that remains when a request is added. */
  decayFactor?: number;
}

const DEFAULT_COST = 100;
const DEFAULT_FADING = 0.98;

/** Requests for which the ratio of all workspaces counts in that of one. */
const PRIOR_REQUESTS = 5;

interface Sums {
  cost: number;
  /** What the cost is related to: the hint, or 1 for each request. */
  base: number;
}

/** Learns the ratio of cost to a base, for each workspace and for all together. */
class CostRatios {
  private readonly fading: number;
  private readonly own = new Map<string, Sums>();
  private readonly all: Sums = { cost: 0, base: 0 };

  constructor(fading: number) {
    this.fading = fading;
  }

  expect(workspace: string, base: number, prior: Sums): number {
    const shared = ratioOf(this.all, prior);
    const weighted = { cost: shared * base * PRIOR_REQUESTS, base: base * PRIOR_REQUESTS };
    return base * ratioOf(this.own.get(workspace) ?? { cost: 0, base: 0 }, weighted);
  }

  learn(workspace: string, cost: number, base: number): void {
    const own = this.own.get(workspace) ?? { cost: 0, base: 0 };
    this.own.set(workspace, own);
    for (const sums of [own, this.all]) {
      sums.cost = sums.cost * this.fading + cost;
      sums.base = sums.base * this.fading + base;
    }
  }
}

/** Learns the cost of each workspace's requests. */
export class CostEstimator {
  private readonly defaultCost: number;
  private readonly perHint: CostRatios;
  private readonly perRequest: CostRatios;

  constructor(options: CostEstimatorOptions = {}) {
    const fading = options.decayFactor ?? DEFAULT_FADING;
    this.defaultCost = options.defaultCost ?? DEFAULT_COST;
    this.perHint = new CostRatios(fading);
    this.perRequest = new CostRatios(fading);
  }

  /** The cost to expect of a request of `workspace`. */
  estimate(workspace: string, hint?: number): number {
    if (hint === undefined || hint <= 0)
      return this.perRequest.expect(workspace, 1, { cost: this.defaultCost, base: 1 });
    return this.perHint.expect(workspace, hint, { cost: hint, base: hint });
  }

  /** Learns from a request that has ended whole. */
  recordCost(workspace: string, cost: number, hint?: number): void {
    this.perRequest.learn(workspace, cost, 1);
    if (hint !== undefined && hint > 0) this.perHint.learn(workspace, cost, hint);
  }
}

function ratioOf(sums: Sums, prior: Sums): number {
  return (sums.cost + prior.cost) / (sums.base + prior.base);
}
