/**
 * The fairness gap: over every window in which two workspaces both stay backlogged, the difference of
 * the service they received, each divided by its weight.
 */

/** Service and backlog of one workspace at one moment. */
export interface ServiceSample {
  workspace: string;
  /** Cumulative cost divided by weight. */
  service: number;
  backlogged: boolean;
}

/** Gaps over all pairs and windows, in cost units per unit of weight. */
export interface FairnessGap {
  max: number;
  p99: number;
  /** Windows that were looked at: one for each pair and stretch of common backlog. */
  windows: number;
}

interface Window {
  least: number;
  most: number;
}

/** Follows the gaps of all pairs as samples come in. */
export class FairnessMeter {
  private readonly open = new Map<string, Window>();
  private readonly closed: number[] = [];

  /** Takes the samples of one moment. */
  addSamples(samples: readonly ServiceSample[]): void {
    const sorted = [...samples].sort((a, b) => (a.workspace < b.workspace ? -1 : 1));
    sorted.forEach((first, index) => {
      for (const second of sorted.slice(index + 1)) this.addPair(first, second);
    });
  }

  /** Gaps of all windows, those still open included. */
  computeGap(): FairnessGap {
    const gaps = [...this.closed, ...[...this.open.values()].map(widthOf)].sort((a, b) => a - b);
    const p99 = gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * 0.99))] ?? 0;
    return { max: gaps.at(-1) ?? 0, p99, windows: gaps.length };
  }

  private addPair(first: ServiceSample, second: ServiceSample): void {
    const key = `${first.workspace}\u0000${second.workspace}`;
    const window = this.open.get(key);
    if (!first.backlogged || !second.backlogged) {
      if (window !== undefined) this.closed.push(widthOf(window));
      this.open.delete(key);
      return;
    }
    const difference = first.service - second.service;
    const least = Math.min(window?.least ?? difference, difference);
    const most = Math.max(window?.most ?? difference, difference);
    this.open.set(key, { least, most });
  }
}

function widthOf(window: Window): number {
  return window.most - window.least;
}
