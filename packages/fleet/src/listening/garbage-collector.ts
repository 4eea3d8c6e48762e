/**
 * Collects the buffers of a process that aren't used any more, while the process is about to fill the memory of its host. V8
 * decides when to collect from the size of its objects, and a buffer is a small object whatever it refers to: a crowd that
 * sends much makes garbage of more than the process may have before V8 looks. Where there is little such garbage, V8 knows
 * best, however much of its host's memory the process takes.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MIB = 1_048_576;

/** Bytes read since the latest look at the memory after which it is looked at again. */
const READ_BYTES = 2 * MIB;

/** Bytes given up since the latest collection after which all objects are collected. */
const YIELDED_BYTES = 6 * MIB;

/** Part of the host's memory up to which garbage is left to V8. */
const BUSY_SHARE = 0.6;

/** Part of the host's memory from which on all garbage is collected, whatever it is. */
const FULL_SHARE = 0.85;

/** Buffers that aren't held for anybody, in bytes, from which on those that were made lately are collected. */
const BUFFER_GARBAGE_BYTES = 16 * MIB;

/** The same from which on all are: some have become old. */
const OLD_BUFFER_GARBAGE_BYTES = 48 * MIB;

/** Growth of the process since all garbage was collected after which that is of use again, in bytes. */
const GROWTH_BYTES = 8 * MIB;

/** Shortest time between two collections of all garbage, in ms. */
const MIN_PAUSE_MS = 60;

const WATCH_PERIOD_MS = 30;

/** Which objects are collected. */
export enum Generation {
  /** Those that were made lately. */
  Young = 'minor',
  All = 'major',
}

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
  /** Collects garbage at once; V8 does by default. */
  collect?: (generation: Generation) => void;
  /** Called with each collection, for metrics. */
  onCollected?: (generation: Generation) => void;
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
    if (this.isBusy(residentBytes)) setImmediate(() => this.collectAll());
  }

  /**
   * Collects what is worth it, and looks again soon as long as there may be more. Called from time to time as well: V8
   * lets garbage of small objects grow up to the limit of its heap.
   */
  check(): void {
    const { readMemory, heldBytes } = this.options;
    const { residentBytes, bufferBytes } = readMemory();
    if (!this.isBusy(residentBytes)) return;
    const garbageBytes = bufferBytes - heldBytes();
    const isFull = residentBytes > FULL_SHARE * this.options.memoryBytes;
    const hasBuffers = garbageBytes > BUFFER_GARBAGE_BYTES;
    if (!isFull && !hasBuffers) return;
    if (isFull || garbageBytes > OLD_BUFFER_GARBAGE_BYTES) this.collectAllIfUseful(residentBytes);
    else this.collect(Generation.Young);
    if (hasBuffers) this.watch();
  }

  private watch(): void {
    if (this.isWatching) return;
    this.isWatching = true;
    setTimeout(() => {
      this.isWatching = false;
      this.check();
    }, WATCH_PERIOD_MS).unref();
  }

  private collectAllIfUseful(residentBytes: number): void {
    const pausedMs = this.options.clock.monotonic() - this.collectedAllAt;
    const hasGrown = residentBytes > this.residentAfterBytes + GROWTH_BYTES;
    if (pausedMs >= MIN_PAUSE_MS && hasGrown) this.collectAll();
  }

  private collectAll(): void {
    this.collect(Generation.All);
    this.collectedAllAt = this.options.clock.monotonic();
    this.residentAfterBytes = this.options.readMemory().residentBytes;
  }

  private collect(generation: Generation): void {
    this.options.collect(generation);
    this.options.onCollected(generation);
  }

  private isBusy(residentBytes: number): boolean {
    return residentBytes > BUSY_SHARE * this.options.memoryBytes;
  }
}

/** Reads the memory of this process; the operating system is asked by a file. */
function readProcessMemory(): MemoryReading {
  const { rss, arrayBuffers } = process.memoryUsage();
  return { residentBytes: rss, bufferBytes: arrayBuffers };
}

type CollectFunction = (options: { type: Generation }) => void;

let v8Collect: CollectFunction | undefined;

/** V8's own function, which it only hands out to contexts that are made after it was asked for. */
function collectNow(generation: Generation): void {
  if (v8Collect === undefined) {
    setFlagsFromString('--expose-gc');
    v8Collect = runInNewContext('gc') as CollectFunction;
  }
  v8Collect({ type: generation });
}
