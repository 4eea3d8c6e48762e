/**
 * What one router has learned of the latencies of a pool, for routers that haven't learned them yet. The median over
 * several routers bounds the effect of one that is wrong.
 */

/** Latencies of a pool. */
export interface PoolLatencies {
  /** Time to the first event of an empty prompt, in ms. */
  baseMs: number;
  /** Prefill time per token, in ms. */
  msPerToken: number;
  /** Mean time for which a request occupies a slot, in ms. */
  durationMs: number;
}

/** Median of each latency; undefined if there are none. */
export function medianLatencies(latencies: readonly PoolLatencies[]): PoolLatencies | undefined {
  const baseMs = median(latencies.map((entry) => entry.baseMs));
  const msPerToken = median(latencies.map((entry) => entry.msPerToken));
  const durationMs = median(latencies.map((entry) => entry.durationMs));
  if (baseMs === undefined || msPerToken === undefined || durationMs === undefined)
    return undefined;
  return { baseMs, msPerToken, durationMs };
}

/** The middle value, or the lower one of two. */
function median(values: readonly number[]): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
