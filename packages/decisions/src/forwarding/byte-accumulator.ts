/**
 * Collects bytes that arrive in chunks into one buffer. The buffer doubles when it is full, so that the work is
 * linear in the number of bytes, and its size depends on that number only, however small the chunks are. A list
 * of chunks would cost an object for each of them.
 */

/** Least capacity that is allocated, in bytes. */
const MIN_CAPACITY_BYTES = 1_024;

const EMPTY: Buffer = Buffer.alloc(0);

/** A growing buffer. */
export class ByteAccumulator {
  private buffer = EMPTY;
  private usedBytes = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.usedBytes;
  }

  /** Copies the bytes of a chunk to the end. */
  push(chunk: Buffer): void {
    const neededBytes = this.usedBytes + chunk.length;
    if (neededBytes > this.buffer.length) this.grow(neededBytes);
    chunk.copy(this.buffer, this.usedBytes);
    this.usedBytes = neededBytes;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    if (this.usedBytes === 0) return EMPTY;
    const bytes = this.buffer.subarray(0, this.usedBytes);
    this.buffer = EMPTY;
    this.usedBytes = 0;
    return bytes;
  }

  private grow(neededBytes: number): void {
    const capacity = Math.max(neededBytes, 2 * this.buffer.length, MIN_CAPACITY_BYTES);
    const larger = Buffer.allocUnsafe(capacity);
    this.buffer.copy(larger, 0, 0, this.usedBytes);
    this.buffer = larger;
  }
}
