/** Simulated prefix cache of an engine: bounded, with least-recently-used eviction. */
import { createHash } from 'node:crypto';

/** Prompt characters per cache block; a cached prefix is a whole number of blocks. */
export const BLOCK_CHARACTERS = 256;

/** Kind of a cache event. */
export enum CacheChange {
  Stored = 'stored',
  Removed = 'removed',
}

/** A change of the cache, as published by engines. */
export interface CacheEvent {
  sequence: number;
  change: CacheChange;
  /** Digest of the prompt prefix that ends with the block. */
  block: string;
}

/** Returns the digests of all whole-block prefixes of a prompt, the shortest first. */
export function prefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  const hash = createHash('sha256');
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    hash.update(prompt.slice(end - BLOCK_CHARACTERS, end));
    blocks.push(hash.copy().digest('hex').slice(0, 16));
  }
  return blocks;
}

/** Stores block digests up to a capacity and reports each change. */
export class PrefixCache {
  private readonly capacity: number;
  private readonly blocks = new Set<string>();
  private readonly onChange: (change: CacheChange, block: string) => void;

  constructor(capacity: number, onChange: (change: CacheChange, block: string) => void) {
    this.capacity = capacity;
    this.onChange = onChange;
  }

  /** Stores the blocks of a prompt and returns how many of them were cached before. */
  lookUpAndStore(blocks: readonly string[]): number {
    let hits = 0;
    for (const block of blocks) {
      if (this.blocks.delete(block)) hits += 1;
      else this.onChange(CacheChange.Stored, block);
      this.blocks.add(block);
    }
    this.evict();
    return hits;
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.capacity) return;
      this.blocks.delete(block);
      this.onChange(CacheChange.Removed, block);
    }
  }
}
