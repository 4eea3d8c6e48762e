/**
 * Frames on a TCP stream: a length of four bytes, big-endian, then a MessagePack value. A frame over
 * the limit or with a value that cannot be read is an error, after which the stream is unusable.
 */
import { Packr } from 'msgpackr';

const LENGTH_BYTES = 4;

/** Largest frame in bytes: a request body with its headers and some room. */
export const FRAME_LIMIT_BYTES = 16 * 1024 * 1024;

/** A stream of frames that breaks the rules. */
export class FrameError extends Error {
  constructor(message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'FrameError';
  }
}

const packr = new Packr({ useRecords: false });

/** Encodes one value as a frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = packr.pack(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Options of a `FrameDecoder`. */
export interface FrameDecoderOptions {
  limitBytes?: number;
}

/** A value with the bytes that it took on the stream. */
export interface DecodedFrame {
  value: unknown;
  bytes: number;
}

/** Cuts a stream of bytes into values. */
export class FrameDecoder {
  private readonly limitBytes: number;
  private chunks: Buffer[] = [];
  private held = 0;

  constructor(options: FrameDecoderOptions = {}) {
    this.limitBytes = options.limitBytes ?? FRAME_LIMIT_BYTES;
  }

  /** Takes bytes in and returns the values they complete. Throws `FrameError`. */
  push(chunk: Buffer): DecodedFrame[] {
    this.chunks.push(chunk);
    this.held += chunk.length;
    const frames: DecodedFrame[] = [];
    for (let body = this.takeBody(); body !== undefined; body = this.takeBody()) {
      frames.push({ value: decodeBody(body), bytes: LENGTH_BYTES + body.length });
    }
    return frames;
  }

  private takeBody(): Buffer | undefined {
    if (this.held < LENGTH_BYTES) return undefined;
    const length = this.peekLength();
    if (length > this.limitBytes)
      throw new FrameError(`frame of ${length} bytes is over the limit`);
    if (this.held < LENGTH_BYTES + length) return undefined;
    const all = this.joinChunks();
    const end = LENGTH_BYTES + length;
    const rest = all.subarray(end);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.held = rest.length;
    return all.subarray(LENGTH_BYTES, end);
  }

  private peekLength(): number {
    const first = this.chunks[0];
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
    return this.joinChunks().readUInt32BE(0);
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    const all = Buffer.concat(this.chunks);
    this.chunks = [all];
    return all;
  }
}

function decodeBody(body: Buffer): unknown {
  try {
    return packr.unpack(body);
  } catch (error) {
    throw new FrameError('frame holds no readable value', error);
  }
}
