/**
 * Counts the requests of the last seconds, and those of them that were late. Counts of several routers can be added
 * up, so that each request weighs alike wherever it was served. A router without requests soon counts none.
 */

/** Time for which a request counts, in ms. */
const WINDOW_MS = 3_000;

/** Length of the slices in which requests expire together, in ms. */
const SLICE_MS = 250;

/** Numbers of requests. */
export interface LatenessCounts {
  late: number;
  /** All requests, the late ones included. */
  total: number;
}

/** The requests of one slice of time, which began at the monotonic time `startedAt`. */
interface LatenessSlice extends LatenessCounts {
  startedAt: number;
}

/** The latest requests of one router in one pool. */
export class LatenessWindow {
  /** The slices with requests, the oldest first. */
  private slices: LatenessSlice[] = [];

  /** Counts a request that ended at the monotonic time `now`, in ms. */
  record(isLate: boolean, now: number): void {
    const slice = this.currentSlice(now);
    slice.total += 1;
    if (isLate) slice.late += 1;
  }

  /** The requests that still count. */
  counts(now: number): LatenessCounts {
    this.dropExpired(now);
    return sumLateness(this.slices);
  }

  private currentSlice(now: number): LatenessSlice {
    const latest = this.slices.at(-1);
    if (latest !== undefined && now - latest.startedAt < SLICE_MS) return latest;
    this.dropExpired(now);
    const slice = { startedAt: now, late: 0, total: 0 };
    this.slices.push(slice);
    return slice;
  }

  private dropExpired(now: number): void {
    const oldest = this.slices[0];
    if (oldest === undefined || now - oldest.startedAt < WINDOW_MS) return;
    this.slices = this.slices.filter(({ startedAt }) => now - startedAt < WINDOW_MS);
  }
}

/** Adds up counts. */
export function sumLateness(counts: Iterable<LatenessCounts>): LatenessCounts {
  const sum = { late: 0, total: 0 };
  for (const { late, total } of counts) {
    sum.late += late;
    sum.total += total;
  }
  return sum;
}
