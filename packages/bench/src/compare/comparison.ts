/** Compares two results of the same scenario, such as before and after a change. */
import type { Spread } from '@poplarpick/load';

/** One measure, before and after. */
export interface ComparedMeasure {
  measure: string;
  before: Spread;
  after: Spread;
  /** Change of the median, relative to before; null where that was 0. */
  change: number | null;
  /** Whether the two spreads have nothing in common, so that the change is more than their scatter. */
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
