/**
 * Memory for what comes in parts, in blocks that are used again. What was given up is free for others at once, and isn't
 * garbage that stays until V8 collects long-lived objects.
 */

import type { GarbageCollector } from './garbage-collector.ts';

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 16_384;

/** Most blocks that are kept for later; the others are garbage. */
const MAX_FREE_BLOCKS = 128;

/** The free blocks of a process. */
export class BlockPool {
  private readonly free: Buffer[] = [];
  private readonly garbage: Pick<GarbageCollector, 'recordYield'>;

  constructor(garbage: Pick<GarbageCollector, 'recordYield'>) {
    this.garbage = garbage;
  }

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  giveBack(blocks: Buffer[]): void {
    for (const block of blocks.splice(0)) {
      if (this.free.length < MAX_FREE_BLOCKS) this.free.push(block);
      else this.garbage.recordYield(BLOCK_BYTES);
    }
  }
}

/** Collects bytes that arrive in chunks; costs the same however small the chunks are. */
export class BlockBuffer {
  private readonly pool: BlockPool;
  private readonly blocks: Buffer[] = [];
  private usedBytes = 0;

  constructor(pool: BlockPool) {
    this.pool = pool;
  }

  /** Number of collected bytes. */
  get length(): number {
    return this.usedBytes;
  }

  /** Memory that it takes once so many more bytes are pushed, in bytes. */
  capacityWith(moreBytes: number): number {
    return Math.ceil((this.usedBytes + moreBytes) / BLOCK_BYTES) * BLOCK_BYTES;
  }

  /** Copies the bytes of a chunk to the end. */
  push(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const offset = this.usedBytes % BLOCK_BYTES;
      if (offset === 0) this.blocks.push(this.pool.take());
      const bytes = chunk.copy(this.blocks.at(-1) ?? EMPTY, offset, copied);
      copied += bytes;
      this.usedBytes += bytes;
    }
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = Buffer.concat(this.blocks, this.usedBytes);
    this.release();
    return bytes;
  }

  /** Drops all bytes. */
  release(): void {
    this.pool.giveBack(this.blocks);
    this.usedBytes = 0;
  }
}

const EMPTY = Buffer.alloc(0);
