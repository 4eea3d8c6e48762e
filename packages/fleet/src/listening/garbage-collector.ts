/**
 * Collects the buffers of a process that aren't used any more, while the process is about to fill the memory of its host. V8
 * decides when to collect from the size of its objects, and a buffer is a small object whatever it refers to: a crowd that
 * sends much makes garbage of more than the process may have before V8 looks. Where there is room, V8 knows best.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MIB = 1_048_576;

/** Bytes read since the latest collection after which short-lived objects are collected. */
const READ_BYTES = 2 * MIB;

/** Bytes given up since the latest collection after which all objects are collected. */
const YIELDED_BYTES = 6 * MIB;

/** Part of the host's memory from which on such garbage is collected. */
const BUSY_SHARE = 0.6;

/** Part of the host's memory from which on all garbage is collected, whatever has been read. */
const FULL_SHARE = 0.7;

/** Shortest time between two collections for that reason, in ms. */
const MIN_PAUSE_MS = 60;

const WATCH_PERIOD_MS = 30;

/** Which objects are collected. */
export enum Generation {
  /** Those that were made lately. */
  Young = 'minor',
  All = 'major',
}

/** Options of a `GarbageCollector`. */
export interface GarbageCollectorOptions {
  /** Memory of the host for this process, in bytes. */
  memoryBytes: number;
  clock: { monotonic(): number };
  /** Resident memory of the process now, in bytes; asks the operating system by default. */
  readMemory?: () => number;
  /** Collects garbage at once; V8 does by default. */
  collect?: (generation: Generation) => void;
}

/** Counts what becomes garbage, and collects it in time. */
export class GarbageCollector {
  private readonly options: Required<GarbageCollectorOptions>;
  private readBytes = 0;
  private yieldedBytes = 0;
  private isWatching = false;
  private collectedAllAt = Number.NEGATIVE_INFINITY;

  constructor(options: GarbageCollectorOptions) {
    this.options = {
      readMemory: () => process.memoryUsage.rss(),
      collect: collectNow,
      ...options,
    };
  }

  /** Called with the number of bytes that were read and are copied or thrown away. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes < READ_BYTES) return;
    this.readBytes = 0;
    const share = this.readShare();
    if (share <= BUSY_SHARE) return;
    if (share > FULL_SHARE) this.collectAllAfterPause();
    else this.options.collect(Generation.Young);
    this.watch();
  }

  /** Called with the number of bytes that were held and are given up. */
  recordYield(bytes: number): void {
    this.yieldedBytes += bytes;
    if (this.yieldedBytes < YIELDED_BYTES) return;
    this.yieldedBytes = 0;
    // What is given up becomes garbage once its connection is closed.
    if (this.readShare() > BUSY_SHARE) setImmediate(() => this.collectAll());
  }

  /** Called from time to time: V8 lets garbage of small objects grow up to the limit of its heap. */
  check(): void {
    if (this.readShare() > FULL_SHARE) this.collectAllAfterPause();
  }

  private collectAllAfterPause(): void {
    const pausedMs = this.options.clock.monotonic() - this.collectedAllAt;
    if (pausedMs >= MIN_PAUSE_MS) this.collectAll();
  }

  /** Checks often as long as the memory is filling; to do so all the time would cost an idle process much. */
  private watch(): void {
    if (this.isWatching) return;
    this.isWatching = true;
    setTimeout(() => {
      this.isWatching = false;
      const share = this.readShare();
      if (share > FULL_SHARE) this.collectAllAfterPause();
      if (share > BUSY_SHARE) this.watch();
    }, WATCH_PERIOD_MS).unref();
  }

  private collectAll(): void {
    this.collectedAllAt = this.options.clock.monotonic();
    this.options.collect(Generation.All);
  }

  /** Part of the host's memory that the process takes; each call opens a file of the operating system. */
  private readShare(): number {
    const { readMemory, memoryBytes } = this.options;
    return readMemory() / memoryBytes;
  }
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
