/**
 * Closes a connection whose bytes bring no response further: a head, chunk extension, trailer or series of
 * interim heads without end, or bytes that follow a complete response. The HTTP parser skips most of these without
 * a limit of its own.
 */
import type { Socket } from 'node:net';

/** Most bytes without progress, in bytes; four times the largest head that the parser takes. */
const MAX_BYTES_WITHOUT_PROGRESS = 65_536;

/** Watches one socket. */
export class ProgressGuard {
  private readonly socket: Socket;
  private hasProgressed = false;
  /** Bytes that the parser had taken at the first check after the latest progress. */
  private bytesAtProgress = 0;

  /** The HTTP parser must be listening to the socket already, so that it reads before this checks. */
  constructor(socket: Socket) {
    this.socket = socket;
    socket.on('readable', () => this.check());
  }

  /** Called when a request or body begins, and with each part of a body. */
  recordProgress(): void {
    this.hasProgressed = true;
  }

  private check(): void {
    const takenBytes = this.takenBytes();
    if (this.hasProgressed) this.bytesAtProgress = takenBytes;
    this.hasProgressed = false;
    if (takenBytes - this.bytesAtProgress <= MAX_BYTES_WITHOUT_PROGRESS) return;
    this.socket.destroy(new Error('the endpoint sends bytes that are no answer'));
  }

  /** Bytes that the parser has taken; those that wait while reading is paused don't count. */
  private takenBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }
}
