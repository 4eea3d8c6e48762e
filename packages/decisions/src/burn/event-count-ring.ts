/**
 * Ring buffer of time buckets that counts good and bad events over a bounded period. Buckets are aligned
 * to multiples of their length since the Unix epoch, so that those of different hosts can be summed.
 */
import type { EventCounts } from './burn-rate.ts';
import { OBJECTIVES } from './service-objectives.ts';
import type { Objective } from './service-objectives.ts';

/** Options of an `EventCountRing`. */
export interface EventCountRingOptions {
  /** Length of a bucket in milliseconds. */
  bucketMs: number;
  /** Number of buckets. */
  buckets: number;
}

/** Counts of all objectives in one bucket. */
export interface CountBucket {
  /** Wall-clock time at which the bucket begins, in milliseconds since the Unix epoch. */
  startMs: number;
  counts: Record<Objective, EventCounts>;
}

const CELLS_PER_OBJECTIVE = 2;
const CELLS_PER_BUCKET = OBJECTIVES.length * CELLS_PER_OBJECTIVE;

/** Counts the events of all objectives. */
export class EventCountRing {
  private readonly bucketMs: number;
  private readonly buckets: number;
  private readonly cells: Uint32Array;
  /** Number, since the epoch, of the bucket that each slot of the ring holds. */
  private readonly bucketNumbers: Float64Array;

  constructor({ bucketMs, buckets }: EventCountRingOptions) {
    this.bucketMs = bucketMs;
    this.buckets = buckets;
    this.cells = new Uint32Array(buckets * CELLS_PER_BUCKET);
    this.bucketNumbers = new Float64Array(buckets);
  }

  /** Counts one event at a wall-clock time. Drops an event whose slot already holds a later bucket. */
  add(nowMs: number, objective: Objective, good: boolean): void {
    const bucket = Math.floor(nowMs / this.bucketMs);
    const slot = bucket % this.buckets;
    const currentBucket = this.bucketNumbers[slot] ?? 0;
    if (bucket < currentBucket) return;
    if (bucket > currentBucket) {
      this.cells.fill(0, slot * CELLS_PER_BUCKET, (slot + 1) * CELLS_PER_BUCKET);
      this.bucketNumbers[slot] = bucket;
    }
    const index = slot * CELLS_PER_BUCKET + OBJECTIVES.indexOf(objective) * CELLS_PER_OBJECTIVE;
    if (good) this.cells[index] = (this.cells[index] ?? 0) + 1;
    this.cells[index + 1] = (this.cells[index + 1] ?? 0) + 1;
  }

  /** Sums the counts of the last `windowMs`, rounded up to whole buckets. */
  sum(nowMs: number, windowMs: number, objective: Objective): EventCounts {
    const { first, last } = this.findBucketRange(nowMs, windowMs);
    const sum = { good: 0, total: 0 };
    this.bucketNumbers.forEach((bucket, slot) => {
      if (bucket < first || bucket > last) return;
      const { good, total } = this.readCounts(slot, objective);
      sum.good += good;
      sum.total += total;
    });
    return sum;
  }

  /** Non-empty buckets of the last `windowMs`, the oldest first. */
  listBuckets(nowMs: number, windowMs: number): CountBucket[] {
    const { first, last } = this.findBucketRange(nowMs, windowMs);
    return [...this.bucketNumbers]
      .map((bucket, slot) => ({ bucket, slot }))
      .filter(({ bucket }) => bucket >= first && bucket <= last)
      .sort((a, b) => a.bucket - b.bucket)
      .map(({ bucket, slot }) => ({
        startMs: bucket * this.bucketMs,
        counts: Object.fromEntries(
          OBJECTIVES.map((objective) => [objective, this.readCounts(slot, objective)]),
        ) as Record<Objective, EventCounts>,
      }));
  }

  /** Numbers of the first and the last bucket of the window that ends at `nowMs`. */
  private findBucketRange(nowMs: number, windowMs: number): { first: number; last: number } {
    const last = Math.floor(nowMs / this.bucketMs);
    const count = Math.min(this.buckets, Math.ceil(windowMs / this.bucketMs));
    return { first: last - count + 1, last };
  }

  private readCounts(slot: number, objective: Objective): EventCounts {
    const index = slot * CELLS_PER_BUCKET + OBJECTIVES.indexOf(objective) * CELLS_PER_OBJECTIVE;
    return { good: this.cells[index] ?? 0, total: this.cells[index + 1] ?? 0 };
  }
}
