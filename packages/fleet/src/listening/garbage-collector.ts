/**
 * Collects the buffers of a process that aren't used any more, while the process is about to fill the memory of its host. V8
 * decides when to collect from the size of its objects, and a buffer is a small object whatever it refers to: a crowd that
 * sends much makes garbage of more than the process may have before V8 looks. Where there is little such garbage, V8 knows
 * best, however much of its host's memory the process takes; once that is nearly all, V8 is asked to collect in steps.
 */
import { CollectionKind, collectNow } from './v8-collections.ts';

const MIB = 1_048_576;

/** Bytes read since the latest look at the memory after which it is looked at again. */
const READ_BYTES = 2 * MIB;

/** Bytes given up since the latest collection after which all objects are collected. */
const YIELDED_BYTES = 6 * MIB;

/** Part of the host's memory up to which garbage is left to V8. */
const BUSY_SHARE = 0.6;

/** Part of the host's memory from which on all garbage is collected: in steps, or at once if the process grows fast. */
const FULL_SHARE = 0.85;

/** Part of the host's memory from which on there is no time for steps. */
const OVERFULL_SHARE = 0.9;

/** Growth of the process within the period below that is fast, in bytes. */
const FAST_GROWTH_BYTES = 16 * MIB;

const GROWTH_PERIOD_MS = 5_000;

/** Buffers that aren't held for anybody, in bytes, from which on those that were made lately are collected. */
const BUFFER_GARBAGE_BYTES = 16 * MIB;

/** The same from which on all are: some have become old. */
const OLD_BUFFER_GARBAGE_BYTES = 48 * MIB;

/** Growth of the process since all garbage was collected after which that is of use again, in bytes. */
const GROWTH_BYTES = 8 * MIB;

/** Shortest time between two collections of all garbage, in ms. */
const MIN_PAUSE_MS = 60;

/** A process that grows as much again within this time fills its memory before steps come to their end, in ms. */
const STEPS_MS = 2_000;

const WATCH_PERIOD_MS = 30;

/** Memory of the process at one moment, in bytes. */
export interface MemoryReading {
  residentBytes: number;
  /** Of all buffers, whether they are used or not. */
  bufferBytes: number;
}

/** Options of a `GarbageCollector`. */
export interface GarbageCollectorOptions {
  /** Memory of the host for this process, in bytes. */
  memoryBytes: number;
  clock: { monotonic(): number };
  /** Bytes of buffers that are held for callers now. */
  heldBytes: () => number;
  /** Reads the memory of the process; asks the operating system and V8 by default. */
  readMemory?: () => MemoryReading;
  /** Collects garbage, or begins to; V8 does by default. */
  collect?: (kind: CollectionKind) => void;
  /** Called with each collection, for metrics. */
  onCollected?: (kind: CollectionKind) => void;
}

/** Counts what becomes garbage, and collects it in time. */
export class GarbageCollector {
  private readonly options: Required<GarbageCollectorOptions>;
  private readBytes = 0;
  private yieldedBytes = 0;
  private isWatching = false;
  private collectedAllAt = Number.NEGATIVE_INFINITY;
  /** Memory of the process after that, in bytes. */
  private residentAfterBytes = 0;
  /** Memory of the process some time ago, in bytes, and when that was. */
  private earlier: { at: number; residentBytes: number } | undefined;

  constructor(options: GarbageCollectorOptions) {
    this.options = {
      readMemory: readProcessMemory,
      collect: collectNow,
      onCollected: () => undefined,
      ...options,
    };
  }

  /** Called with the number of bytes that were read and are copied or thrown away. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes < READ_BYTES) return;
    this.readBytes = 0;
    this.check();
  }

  /** Called with the number of bytes that were held and are given up. */
  recordYield(bytes: number): void {
    this.yieldedBytes += bytes;
    if (this.yieldedBytes < YIELDED_BYTES) return;
    this.yieldedBytes = 0;
    const { residentBytes } = this.options.readMemory();
    // What is given up becomes garbage once its connection is closed.
    if (this.isBusy(residentBytes)) setImmediate(() => this.collectAll(CollectionKind.All));
  }

  /**
   * Collects what is worth it, and looks again soon as long as there may be more. Called from time to time as well: V8
   * lets garbage of small objects grow up to the limit of its heap.
   */
  check(): void {
    const { readMemory, heldBytes } = this.options;
    const { residentBytes, bufferBytes } = readMemory();
    const growsFast = this.growsFast(residentBytes);
    if (!this.isBusy(residentBytes)) return;
    const garbageBytes = bufferBytes - heldBytes();
    if (garbageBytes > BUFFER_GARBAGE_BYTES) {
      this.collectBuffers(residentBytes, garbageBytes);
      this.watch();
    } else if (this.isOver(FULL_SHARE, residentBytes)) {
      const isLate = this.isOver(OVERFULL_SHARE, residentBytes) || this.pausedMs < STEPS_MS;
      const kind = growsFast || isLate ? CollectionKind.All : CollectionKind.AllInSteps;
      this.collectIfUseful(kind, residentBytes);
    }
  }

  private collectBuffers(residentBytes: number, garbageBytes: number): void {
    const areOld = garbageBytes > OLD_BUFFER_GARBAGE_BYTES;
    if (areOld || this.isOver(FULL_SHARE, residentBytes))
      this.collectIfUseful(CollectionKind.All, residentBytes);
    else this.collect(CollectionKind.Young);
  }

  private watch(): void {
    if (this.isWatching) return;
    this.isWatching = true;
    setTimeout(() => {
      this.isWatching = false;
      this.check();
    }, WATCH_PERIOD_MS).unref();
  }

  /** Time since all garbage was collected, in ms. */
  private get pausedMs(): number {
    return this.options.clock.monotonic() - this.collectedAllAt;
  }

  private collectIfUseful(
    kind: CollectionKind.All | CollectionKind.AllInSteps,
    residentBytes: number,
  ): void {
    const hasGrown = residentBytes > this.residentAfterBytes + GROWTH_BYTES;
    if (this.pausedMs >= MIN_PAUSE_MS && hasGrown) this.collectAll(kind);
  }

  private collectAll(kind: CollectionKind): void {
    this.collect(kind);
    this.collectedAllAt = this.options.clock.monotonic();
    this.residentAfterBytes = this.options.readMemory().residentBytes;
  }

  private collect(kind: CollectionKind): void {
    this.options.collect(kind);
    this.options.onCollected(kind);
  }

  private growsFast(residentBytes: number): boolean {
    const at = this.options.clock.monotonic();
    const earlier = this.earlier ?? { at, residentBytes };
    const isOutdated = at - earlier.at >= GROWTH_PERIOD_MS;
    this.earlier = isOutdated ? { at, residentBytes } : earlier;
    return residentBytes - earlier.residentBytes > FAST_GROWTH_BYTES;
  }

  private isBusy(residentBytes: number): boolean {
    return this.isOver(BUSY_SHARE, residentBytes);
  }

  private isOver(share: number, residentBytes: number): boolean {
    return residentBytes > share * this.options.memoryBytes;
  }
}

/** Reads the memory of this process; the operating system is asked by a file. */
function readProcessMemory(): MemoryReading {
  const { rss, arrayBuffers } = process.memoryUsage();
  return { residentBytes: rss, bufferBytes: arrayBuffers };
}
