/** Compares two results of the same scenario, such as before and after a change. */
import type { Spread } from '@poplarpick/load';

/** One measure, before and after. */
export interface ComparedMeasure {
  measure: string;
  before: Spread;
  after: Spread;
  /** Relative change of the median; null if the median before was 0. */
  change: number | null;
  /** Whether the ranges of both results don't overlap, so that the change exceeds the scatter. */
  differs: boolean;
}

/** Compares the measures that both results have. */
export function compareMeasures(
  before: Record<string, Spread>,
  after: Record<string, Spread>,
): ComparedMeasure[] {
  return Object.entries(before).flatMap(([measure, first]) => {
    const second = after[measure];
    if (second === undefined) return [];
    const change = first.median === 0 ? null : (second.median - first.median) / first.median;
    const differs = second.least > first.most || second.most < first.least;
    return { measure, before: first, after: second, change, differs };
  });
}
