/**
 * Log output that neither blocks the process nor buffers without bound. Lines are written in batches;
 * when a slow reader has filled the buffer, new lines are dropped and counted. Node.js writes to pipes
 * in the background, so an unread pipe would otherwise make the stream's buffer grow.
 */
import type { Writable } from 'node:stream';

/** Bytes in the stream's buffer above which new lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Characters of collected lines at which they are written to the stream at once. */
const FLUSH_LENGTH = 8_192;

/** Longest time for which a line is held back to be written together with others, in milliseconds. */
const FLUSH_INTERVAL_MS = 200;

/** Log output as seen by the code that reports its losses and flushes it at exit. */
export interface LogOutput {
  /** Lines dropped since the process started. */
  readonly dropped: number;
  /** Writes the collected lines to the stream. */
  flush(): void;
}

/** Writes lines to a stream in batches and drops them when the stream's buffer is full. */
export class BoundedOutput implements LogOutput {
  private readonly stream: Writable;
  private readonly timer: NodeJS.Timeout;
  private lines: string[] = [];
  private length = 0;
  private droppedLines = 0;

  constructor(stream: Writable = process.stdout) {
    this.stream = stream;
    // A reader that closed the pipe must not end the process with an unhandled error.
    stream.on('error', () => (this.droppedLines += 1));
    this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  get dropped(): number {
    return this.droppedLines;
  }

  /** Queues a line, or drops it when the buffer is full. Never blocks. */
  write(line: string): void {
    if (this.stream.writableLength > MAX_BUFFERED_BYTES || this.stream.destroyed) {
      this.droppedLines += 1;
      return;
    }
    this.lines.push(line);
    this.length += line.length;
    if (this.length >= FLUSH_LENGTH) this.flush();
  }

  flush(): void {
    if (this.lines.length === 0) return;
    this.stream.write(this.lines.join(''));
    this.lines = [];
    this.length = 0;
  }

  /** Writes the collected lines and stops the flush timer. */
  close(): void {
    clearInterval(this.timer);
    this.flush();
  }
}
