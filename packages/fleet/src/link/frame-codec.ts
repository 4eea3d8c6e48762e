/**
 * Framing of messages on a TCP stream. A frame is a big-endian length of four bytes, followed by one
 * MessagePack value. The stream is unusable after a frame that is too large or cannot be decoded.
 */
import { Packr, Unpackr } from 'msgpackr';

const LENGTH_BYTES = 4;

/** Maximum frame size in bytes, enough for the largest request body and its headers. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Thrown for a frame that is too large or does not contain exactly one readable value. */
export class FrameError extends Error {
  constructor(message: string, cause?: unknown) {
    super(message, { cause });
    this.name = 'FrameError';
  }
}

/**
 * Encodes values as the frames of one stream. The field names of a record are sent once, and later
 * records with the same fields refer to them, so one decoder must read all frames in order.
 */
export class FrameEncoder {
  private readonly packr = new Packr({ sequential: true });

  /** Encodes one value as a frame. The frame must be sent, since later frames may refer to it. */
  encode(value: unknown): Buffer {
    const body = this.packr.pack(value);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
  }
}

/** Options of a `FrameDecoder`. */
export interface FrameDecoderOptions {
  maxFrameBytes?: number;
}

/** A decoded value and the size of its frame in bytes. */
export interface DecodedFrame {
  value: unknown;
  bytes: number;
}

/** Decodes the frames of one stream, whatever the chunks in which its bytes arrive. */
export class FrameDecoder {
  /** Largest frame, in bytes; may be changed between two frames. */
  limitBytes: number;
  private readonly unpackr = new Unpackr({ structures: [] });
  private chunks: Buffer[] = [];
  private bufferedLength = 0;

  constructor(options: FrameDecoderOptions = {}) {
    this.limitBytes = options.maxFrameBytes ?? MAX_FRAME_BYTES;
  }

  /** Number of buffered bytes of an incomplete frame. */
  get bufferedBytes(): number {
    return this.bufferedLength;
  }

  /** Appends bytes and returns the frames that are now complete. Throws `FrameError`. */
  push(chunk: Buffer): DecodedFrame[] {
    this.chunks.push(chunk);
    this.bufferedLength += chunk.length;
    const frames: DecodedFrame[] = [];
    for (let body = this.shiftBody(); body !== undefined; body = this.shiftBody()) {
      frames.push({ value: this.decode(body), bytes: LENGTH_BYTES + body.length });
    }
    return frames;
  }

  private decode(body: Buffer): unknown {
    const values = this.unpackBody(body);
    if (values.length !== 1) throw new FrameError(`frame holds ${values.length} values`);
    return values[0];
  }

  /** Uses `unpackMultiple`, which alone retains record structures from one frame to the next. */
  private unpackBody(body: Buffer): unknown[] {
    try {
      return (this.unpackr.unpackMultiple(body) as unknown[] | undefined) ?? [];
    } catch (error) {
      throw new FrameError('frame holds no readable value', error);
    }
  }

  /** Removes the first complete frame from the buffer and returns its body. */
  private shiftBody(): Buffer | undefined {
    if (this.bufferedLength < LENGTH_BYTES) return undefined;
    const length = this.peekLength();
    if (length > this.limitBytes)
      throw new FrameError(`frame of ${length} bytes is over the limit`);
    if (this.bufferedLength < LENGTH_BYTES + length) return undefined;
    const buffer = this.concatChunks();
    const end = LENGTH_BYTES + length;
    const remainder = buffer.subarray(end);
    this.chunks = remainder.length > 0 ? [remainder] : [];
    this.bufferedLength = remainder.length;
    return buffer.subarray(LENGTH_BYTES, end);
  }

  private peekLength(): number {
    const first = this.chunks[0];
    if (first !== undefined && first.length >= LENGTH_BYTES) return first.readUInt32BE(0);
    return this.concatChunks().readUInt32BE(0);
  }

  private concatChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    const buffer = Buffer.concat(this.chunks);
    this.chunks = [buffer];
    return buffer;
  }
}
