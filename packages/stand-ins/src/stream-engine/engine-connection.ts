/**
 * Server side of one HTTP/1.1 connection of a `StreamEngine`. It parses requests, and gives its user the bytes
 * of the connection itself: an answer may be split at any byte, broken off, or followed by another.
 */
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '@poplarpick/load';

/** A request. */
export interface EngineRequest {
  method: string;
  target: string;
  /** Header values by lowercase name. */
  headers: ReadonlyMap<string, string>;
}

/** Handles a request; the next one is read when it is done. */
export type EngineRequestHandler = (
  request: EngineRequest,
  connection: EngineConnection,
) => Promise<void>;

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const SPLIT_SHARE = 0.3;
const MAX_SPLIT_PAUSE_MS = 4;

/** One connection of a caller of the engine. */
export class EngineConnection {
  private readonly socket: Socket;
  private readonly random: Random;
  private received = Buffer.alloc(0);
  private isEnded = false;
  private wake: () => void = () => undefined;

  constructor(socket: Socket, random: Random) {
    this.socket = socket;
    this.random = random;
    socket.setNoDelay(true);
    socket.on('data', (bytes: Buffer) => {
      this.received = Buffer.concat([this.received, bytes]);
      this.wake();
    });
    socket.on('error', () => undefined);
    const end = (): void => {
      this.isEnded = true;
      this.wake();
    };
    socket.on('end', end);
    socket.on('close', end);
  }

  /** Whether the caller has closed the connection. */
  get isLeft(): boolean {
    return this.isEnded || this.socket.destroyed;
  }

  /** Reads requests, one after the other, until the connection ends. */
  async serve(handle: EngineRequestHandler): Promise<void> {
    for (;;) {
      const request = await this.readHead();
      if (request === undefined) return;
      await handle(request, this);
      if (this.isLeft) return;
    }
  }

  /** Reads the body of the request whose head was read last; false if the connection ended before. */
  async readBody({ headers }: EngineRequest): Promise<boolean> {
    if (headers.get('transfer-encoding') !== undefined) return this.readChunks();
    return (await this.take(Number(headers.get('content-length') ?? 0))) !== undefined;
  }

  /** Writes bytes, at times in pieces that end anywhere. */
  async write(text: string): Promise<void> {
    let bytes = Buffer.from(text, 'latin1');
    while (bytes.length > 1 && this.random.uniform() < SPLIT_SHARE) {
      const cut = 1 + this.random.integer(bytes.length - 1);
      this.send(bytes.subarray(0, cut));
      bytes = bytes.subarray(cut);
      await sleep(this.random.integer(MAX_SPLIT_PAUSE_MS));
    }
    this.send(bytes);
  }

  /** Ends the connection in order, after what was written. */
  end(): void {
    this.socket.end();
    this.isEnded = true;
  }

  /** Resets the connection. */
  reset(): void {
    this.socket.resetAndDestroy();
  }

  private send(bytes: Buffer): void {
    if (!this.isLeft) this.socket.write(bytes);
  }

  private async readHead(): Promise<EngineRequest | undefined> {
    const text = await this.takeUntil(HEAD_END);
    if (text === undefined) return undefined;
    const [first = '', ...lines] = text.split(LINE_END);
    const [method = '', target = ''] = first.split(' ');
    const headers = new Map<string, string>();
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    return { method, target, headers };
  }

  private async readChunks(): Promise<boolean> {
    for (;;) {
      const line = await this.takeUntil(LINE_END);
      if (line === undefined) return false;
      const size = Number.parseInt(line, 16);
      if ((await this.take(size + LINE_END.length)) === undefined) return false;
      if (size === 0) return true;
    }
  }

  private async takeUntil(mark: string): Promise<string | undefined> {
    let index = this.received.indexOf(mark);
    while (index < 0) {
      if (!(await this.waitForBytes())) return undefined;
      index = this.received.indexOf(mark);
    }
    const bytes = await this.take(index + mark.length);
    return bytes?.toString('latin1').slice(0, index);
  }

  private async take(length: number): Promise<Buffer | undefined> {
    while (this.received.length < length) {
      if (!(await this.waitForBytes())) return undefined;
    }
    const bytes = this.received.subarray(0, length);
    this.received = this.received.subarray(length);
    return bytes;
  }

  private async waitForBytes(): Promise<boolean> {
    if (this.isLeft) return false;
    await new Promise<void>((resolve) => (this.wake = resolve));
    return !this.isLeft;
  }
}
