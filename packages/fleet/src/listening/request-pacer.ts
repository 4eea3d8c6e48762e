/**
 * Gives the bytes of one connection to the HTTP parser at the pace at which its requests are answered. The parser takes
 * whatever it is given in one go, and a block of 64 KiB may hold thousands of requests; so it is given one head at a time,
 * and nothing while more than a few requests wait for their answers. The rest stays unread: back-pressure that costs an
 * ordinary caller nothing.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { GarbageCollector } from './garbage-collector.ts';
import { HeadScanner } from './head-scanner.ts';
import type { WorkTurns } from './work-turns.ts';

/** Requests of one connection that may wait for their answers, the one that is served included. */
const MAX_UNANSWERED = 8;

/** Most that Node.js reads in one block, and keeps of a connection that is paused before its next block, in bytes. */
const READ_BLOCK_BYTES = 65_536;

/** Bytes that are parsed at once whatever else has been parsed in this turn: an ordinary request. */
const SMALL_BYTES = 8_192;

/** Memory that the parser takes for each byte of a head, in bytes: it makes two strings of each line. */
const HEAD_BYTE_COST = 5;

/** Memory of a connection on which a head comes, besides the head, in bytes: its socket and its parser. */
const CONNECTION_BYTES = 16_384;

/** Bytes of a head that the limit of heads doesn't count, such as spaces; in bytes. */
const HEAD_MARGIN_BYTES = 4_096;

/** Options of a `RequestPacer`. */
export interface RequestPacerOptions {
  /** A connection that the HTTP server has taken over already. */
  socket: Socket;
  turns: WorkTurns;
  garbage: Pick<GarbageCollector, 'recordRead'>;
  /** Largest head, in bytes, at the moment. */
  maxHeadBytes: () => number;
  /** Called when a head that hasn't ended is larger than that. */
  onHeadTooLarge: () => void;
  /** Holds so many bytes for input that can't be answered yet, in all; false if there is no room for them. */
  holdInput: (bytes: number) => boolean;
}

/** Paces one connection. */
export class RequestPacer {
  private readonly options: RequestPacerOptions;
  /** The HTTP server's own listener, which parses. */
  private readonly parse: (piece: Buffer) => void;
  private readonly scanner = new HeadScanner();
  private unanswered = 0;
  /** The latest request whose head has come. */
  private latest: IncomingMessage | undefined;
  /** Bytes of a head that hasn't ended. */
  private headBytes = 0;
  private heldBytes = 0;
  /** Bytes that the latest call of `take` has put back, so that they come again. */
  private putBackBytes = 0;
  /** Waits until an answer has been sent. */
  private isHeld = false;
  private isGivenUp = false;

  constructor(options: RequestPacerOptions) {
    this.options = options;
    const { socket } = options;
    const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[];
    if (parse === undefined) throw new Error('no HTTP server reads this connection');
    this.parse = parse;
    socket.removeListener('data', parse);
    socket.on('data', (bytes: Buffer) => this.take(bytes));
    // So that many new connections don't read a block each in one turn.
    if (options.turns.isUsedUp) this.waitForTurn(true);
  }

  /** Counts a request whose head has come; its response ends it. */
  add(request: IncomingMessage, response: ServerResponse): void {
    this.unanswered += 1;
    this.latest = request;
    this.headBytes = 0;
    this.scanner.beginBody(Number(request.headers['content-length'] ?? 0));
    response.once('close', () => {
      this.unanswered -= 1;
      if (!this.isHeld || !this.mayParse) return;
      this.isHeld = false;
      this.options.socket.resume();
    });
  }

  /** Throws away whatever comes from now on. */
  giveUp(): void {
    this.isGivenUp = true;
    this.options.socket.resume();
  }

  private get mayParse(): boolean {
    return this.unanswered < MAX_UNANSWERED;
  }

  private get isHeadTooLarge(): boolean {
    return this.headBytes > this.options.maxHeadBytes() + HEAD_MARGIN_BYTES;
  }

  private take(bytes: Buffer): void {
    this.options.garbage.recordRead(Math.max(0, bytes.length - this.putBackBytes));
    this.putBackBytes = 0;
    let rest = bytes;
    const isSmall = bytes.length <= SMALL_BYTES;
    while (rest.length > 0 && !this.isHeadTooLarge && this.mayGoOn(rest === bytes, isSmall)) {
      const piece = rest.subarray(0, this.scanner.pieceLength(rest));
      rest = rest.subarray(piece.length);
      if (this.latest?.complete !== false) this.headBytes += piece.length;
      this.scanner.record(piece);
      this.parse(piece);
    }
    const { socket } = this.options;
    if (this.isGivenUp || socket.destroyed) return;
    const isTooLarge = this.isHeadTooLarge;
    const isWaiting = rest.length > 0 && !isTooLarge;
    if (isWaiting) {
      this.putBackBytes = rest.length;
      socket.unshift(rest);
    }
    const isHeld = this.holdInput(isWaiting ? rest.buffer.byteLength + READ_BLOCK_BYTES : 0);
    if (isHeld && isTooLarge) this.options.onHeadTooLarge();
  }

  /**
   * Whether the parser may be given more now; otherwise the connection is paused, unless it is of no use any more.
   * `hadNoTime` tells whether it has got none in this turn, `isSmall` that what has come takes little time in any case.
   */
  private mayGoOn(hadNoTime: boolean, isSmall: boolean): boolean {
    const { socket, turns } = this.options;
    if (this.isGivenUp || socket.destroyed) return false;
    // The HTTP server itself goes on once its caller has taken what was written.
    const isPaused = socket.isPaused() || isPausedByServer(socket);
    if (!isPaused && this.mayParse && (isSmall || turns.hasTime)) return true;
    if (!isPaused && this.mayParse) {
      this.waitForTurn(hadNoTime);
      return false;
    }
    if (!isPaused) this.isHeld = true;
    socket.pause();
    return false;
  }

  private waitForTurn(hadNoTime: boolean): void {
    const { socket, turns } = this.options;
    socket.pause();
    turns.wait(() => socket.resume(), { hadNoTime });
  }

  /** Holds what can't be answered yet; false if there is no room for it, so that it is given up. */
  private holdInput(waitingBytes: number): boolean {
    const headCost = this.headBytes === 0 ? 0 : this.headBytes * HEAD_BYTE_COST + CONNECTION_BYTES;
    const bytes = headCost + waitingBytes;
    if (bytes === this.heldBytes) return true;
    this.heldBytes = bytes;
    if (this.options.holdInput(bytes)) return true;
    this.giveUp();
    return false;
  }
}

/** Whether the HTTP server has stopped reading; it must not be given bytes then. */
function isPausedByServer(socket: Socket & { _paused?: boolean }): boolean {
  return socket._paused === true;
}
