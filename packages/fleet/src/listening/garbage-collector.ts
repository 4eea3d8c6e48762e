/**
 * Collects the buffers of a process that aren't used any more. V8 decides when to collect from the size of its objects, and
 * a buffer is a small object whatever it refers to: a crowd that sends much makes garbage of more than the process may
 * have before V8 looks.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MIB = 1_048_576;

/** Bytes read since the latest collection after which short-lived objects are collected. */
const READ_BYTES = 4 * MIB;

/** Bytes given up since the latest collection after which all objects are collected. */
const YIELDED_BYTES = 16 * MIB;

/** Which objects are collected. */
export enum Generation {
  /** Those that were made lately. */
  Young = 'minor',
  All = 'major',
}

/** Collects garbage at once. */
export type Collect = (options: { type: Generation }) => void;

/** Counts what becomes garbage, and collects it in time. */
export class GarbageCollector {
  private readonly collect: Collect;
  private readBytes = 0;
  private yieldedBytes = 0;

  constructor(collect: Collect = findCollector()) {
    this.collect = collect;
  }

  /** Called with the number of bytes that were read and are copied or thrown away. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes < READ_BYTES) return;
    this.readBytes = 0;
    this.collect({ type: Generation.Young });
  }

  /** Called with the number of bytes that were held and are given up. */
  recordYield(bytes: number): void {
    this.yieldedBytes += bytes;
    if (this.yieldedBytes < YIELDED_BYTES) return;
    this.yieldedBytes = 0;
    this.readBytes = 0;
    // What is given up becomes garbage once its connection is closed.
    setImmediate(() => this.collect({ type: Generation.All }));
  }
}

/** V8's own function, which it only hands out to contexts that are made after it was asked for. */
function findCollector(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}
