/**
 * Measures the fairness gap: for each pair of workspaces and each window in which both stay
 * backlogged, the largest difference in the service they received, each divided by its weight.
 */

/** Service and backlog of one workspace at one point in time. */
export interface ServiceSample {
  workspace: string;
  /** Cumulative cost of the service received, divided by the workspace's weight. */
  service: number;
  backlogged: boolean;
}

/** Maximum and 99th percentile of the gaps of all windows, in cost units per unit of weight. */
export interface FairnessGap {
  max: number;
  p99: number;
  /** Number of windows: one for each pair and period of common backlog. */
  windows: number;
}

/** Range of the difference in weighted service of a pair during a common backlog. */
interface BacklogWindow {
  minDifference: number;
  maxDifference: number;
}

/** Tracks the gaps of all pairs of workspaces over successive samples. */
export class FairnessMeter {
  private readonly openWindows = new Map<string, BacklogWindow>();
  private readonly closedGaps: number[] = [];

  /** Adds the samples of all workspaces at one point in time. */
  addSamples(samples: readonly ServiceSample[]): void {
    const sorted = [...samples].sort((a, b) => (a.workspace < b.workspace ? -1 : 1));
    sorted.forEach((first, index) => {
      for (const second of sorted.slice(index + 1)) this.addPair(first, second);
    });
  }

  /** Computes the gaps of all windows, including those still open. */
  computeGap(): FairnessGap {
    const gaps = [...this.closedGaps, ...[...this.openWindows.values()].map(computeWidth)].sort(
      (a, b) => a - b,
    );
    const p99 = gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * 0.99))] ?? 0;
    return { max: gaps.at(-1) ?? 0, p99, windows: gaps.length };
  }

  private addPair(first: ServiceSample, second: ServiceSample): void {
    const key = `${first.workspace}\u0000${second.workspace}`;
    const window = this.openWindows.get(key);
    if (!first.backlogged || !second.backlogged) {
      if (window !== undefined) this.closedGaps.push(computeWidth(window));
      this.openWindows.delete(key);
      return;
    }
    const difference = first.service - second.service;
    const minDifference = Math.min(window?.minDifference ?? difference, difference);
    const maxDifference = Math.max(window?.maxDifference ?? difference, difference);
    this.openWindows.set(key, { minDifference, maxDifference });
  }
}

function computeWidth(window: BacklogWindow): number {
  return window.maxDifference - window.minDifference;
}
