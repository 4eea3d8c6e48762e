/** Tells peers what a router has learned of the latencies of pools, and applies what they tell. */
import murmurhash from 'murmurhash';
import { medianLatencies } from '@poplarpick/decisions';
import type { LatencyEstimator, PoolLatencies } from '@poplarpick/decisions';
import type { PoolLatencyEntry } from './peer-table.ts';

const US_PER_MS = 1_000;
const NS_PER_MS = 1_000_000;

/** Estimators by the name of their pool. */
export type PoolEstimators = ReadonlyMap<string, LatencyEstimator>;

/** The entries of the pools whose latencies this router itself has learned. */
export function listLatencies(estimators: PoolEstimators): PoolLatencyEntry[] {
  const entries: PoolLatencyEntry[] = [];
  for (const [pool, { learned }] of estimators) {
    if (learned !== undefined) entries.push(toEntry(murmurhash.v3(pool), learned));
  }
  return entries;
}

/** Lets the estimators that have learned little themselves take over the median of what `readTold` returns. */
export function applyLatencies(
  estimators: PoolEstimators,
  readTold: () => readonly PoolLatencyEntry[],
): void {
  const learning = [...estimators].filter(([, { isLearned }]) => !isLearned);
  if (learning.length === 0) return;
  const medians = new Map(medianEntries(readTold()).map((entry) => [entry[0], entry]));
  for (const [pool, estimator] of learning) {
    const entry = medians.get(murmurhash.v3(pool));
    if (entry !== undefined) estimator.applyTold(toLatencies(entry));
  }
}

/** The median entry of each pool. */
export function medianEntries(entries: readonly PoolLatencyEntry[]): PoolLatencyEntry[] {
  const byPool = new Map<number, PoolLatencies[]>();
  for (const entry of entries) {
    const [pool] = entry;
    byPool.set(pool, [...(byPool.get(pool) ?? []), toLatencies(entry)]);
  }
  const medians: PoolLatencyEntry[] = [];
  for (const [pool, latencies] of byPool) {
    const median = medianLatencies(latencies);
    if (median !== undefined) medians.push(toEntry(pool, median));
  }
  return medians;
}

function toEntry(
  pool: number,
  { baseMs, msPerToken, durationMs }: PoolLatencies,
): PoolLatencyEntry {
  const baseUs = Math.round(baseMs * US_PER_MS);
  return [pool, baseUs, Math.round(msPerToken * NS_PER_MS), Math.round(durationMs)];
}

function toLatencies([, baseUs, nsPerToken, durationMs]: PoolLatencyEntry): PoolLatencies {
  return { baseMs: baseUs / US_PER_MS, msPerToken: nsPerToken / NS_PER_MS, durationMs };
}
