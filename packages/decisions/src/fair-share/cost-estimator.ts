/**
 * Expected cost of a request. The hint of the caller is the prior; from the costs that a workspace's
 * requests turned out to have, both their mean and the usual ratio of cost to hint are learned, and
 * the one that has been the better guess lately is used.
 */

/** Options of a `CostEstimator`. */
export interface CostEstimatorOptions {
  /** Cost that is expected where nothing is known. */
  defaultCost?: number;
  /** Weight of the newest cost in the averages. */
  smoothing?: number;
}

const DEFAULT_COST = 100;
const DEFAULT_SMOOTHING = 0.1;

interface Learned {
  meanCost: number;
  /** Mean of cost divided by hint; undefined where no hint came. */
  hintRatio: number | undefined;
  /** Mean absolute errors of the two guesses. */
  meanError: number;
  hintError: number;
}

/** Learns the cost of each workspace's requests. */
export class CostEstimator {
  private readonly defaultCost: number;
  private readonly smoothing: number;
  private readonly learned = new Map<string, Learned>();

  constructor(options: CostEstimatorOptions = {}) {
    this.defaultCost = options.defaultCost ?? DEFAULT_COST;
    this.smoothing = options.smoothing ?? DEFAULT_SMOOTHING;
  }

  /** The cost to expect of a request of `workspace`. */
  expect(workspace: string, hint?: number): number {
    const known = this.learned.get(workspace);
    if (known === undefined) return hint ?? this.defaultCost;
    if (hint === undefined || known.hintRatio === undefined) return known.meanCost;
    return known.hintError < known.meanError ? hint * known.hintRatio : known.meanCost;
  }

  /** Learns from a request that has ended. */
  learn(workspace: string, cost: number, hint?: number): void {
    const ratio = hint === undefined || hint <= 0 ? undefined : cost / hint;
    const known = this.learned.get(workspace);
    if (known === undefined) {
      this.learned.set(workspace, { meanCost: cost, hintRatio: ratio, meanError: 0, hintError: 0 });
      return;
    }
    const hinted = hint === undefined ? undefined : hint * (known.hintRatio ?? 1);
    this.learned.set(workspace, {
      meanCost: this.mix(known.meanCost, cost),
      hintRatio: ratio === undefined ? known.hintRatio : this.mix(known.hintRatio ?? ratio, ratio),
      meanError: this.mix(known.meanError, Math.abs(cost - known.meanCost)),
      hintError:
        hinted === undefined ? known.hintError : this.mix(known.hintError, Math.abs(cost - hinted)),
    });
  }

  private mix(before: number, now: number): number {
    return before + this.smoothing * (now - before);
  }
}
