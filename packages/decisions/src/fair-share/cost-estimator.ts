/**
 * Estimates the cost of a request from the caller's hint and the cost of completed requests. The
 * ratio of cost to hint is estimated for each workspace from exponentially decayed sums. A workspace
 * with few completed requests uses mostly the ratio over all workspaces, and before any request has
 * completed the estimate is the hint itself. A request without a hint is estimated at the mean cost
 * of its workspace's requests.
 */

/** Options of a `CostEstimator`. */
export interface CostEstimatorOptions {
  /** Estimate for a request without a hint while no request has completed. */
  defaultCost?: number;
  /** Factor by which the sums are multiplied when a completed request is added. */
  decayFactor?: number;
}

const DEFAULT_COST = 100;
const DEFAULT_DECAY_FACTOR = 0.98;

/** Weight of the ratio over all workspaces in that of one workspace, as a number of requests. */
const PRIOR_REQUEST_COUNT = 5;

interface DecayedSums {
  cost: number;
  /** Denominator of the ratio: the sum of the hints, or of 1 for each request. */
  base: number;
}

/** Estimates the ratio of cost to a base for each workspace, with the ratio over all as the prior. */
class CostRatioEstimator {
  private readonly decayFactor: number;
  private readonly byWorkspace = new Map<string, DecayedSums>();
  private readonly fleetSums: DecayedSums = { cost: 0, base: 0 };

  constructor(decayFactor: number) {
    this.decayFactor = decayFactor;
  }

  estimate(workspace: string, base: number, defaultPrior: DecayedSums): number {
    const fleetRatio = computeRatio(this.fleetSums, defaultPrior);
    const prior = {
      cost: fleetRatio * base * PRIOR_REQUEST_COUNT,
      base: base * PRIOR_REQUEST_COUNT,
    };
    return base * computeRatio(this.byWorkspace.get(workspace) ?? { cost: 0, base: 0 }, prior);
  }

  recordCost(workspace: string, cost: number, base: number): void {
    const workspaceSums = this.byWorkspace.get(workspace) ?? { cost: 0, base: 0 };
    this.byWorkspace.set(workspace, workspaceSums);
    for (const sums of [workspaceSums, this.fleetSums]) {
      sums.cost = sums.cost * this.decayFactor + cost;
      sums.base = sums.base * this.decayFactor + base;
    }
  }
}

/** Estimates the cost of requests from that of completed requests of the same workspace. */
export class CostEstimator {
  private readonly defaultCost: number;
  private readonly costPerHint: CostRatioEstimator;
  private readonly costPerRequest: CostRatioEstimator;

  constructor(options: CostEstimatorOptions = {}) {
    const decayFactor = options.decayFactor ?? DEFAULT_DECAY_FACTOR;
    this.defaultCost = options.defaultCost ?? DEFAULT_COST;
    this.costPerHint = new CostRatioEstimator(decayFactor);
    this.costPerRequest = new CostRatioEstimator(decayFactor);
  }

  /** Returns the expected cost of a request of `workspace`. */
  estimate(workspace: string, hint?: number): number {
    if (hint === undefined || hint <= 0)
      return this.costPerRequest.estimate(workspace, 1, { cost: this.defaultCost, base: 1 });
    return this.costPerHint.estimate(workspace, hint, { cost: hint, base: hint });
  }

  /** Records the cost of a request that has completed successfully. */
  recordCost(workspace: string, cost: number, hint?: number): void {
    this.costPerRequest.recordCost(workspace, cost, 1);
    if (hint !== undefined && hint > 0) this.costPerHint.recordCost(workspace, cost, hint);
  }
}

function computeRatio(sums: DecayedSums, prior: DecayedSums): number {
  return (sums.cost + prior.cost) / (sums.base + prior.base);
}
