/**
 * Cuts the bytes of a connection into pieces of which each holds the end of one head at most. To cut too early does no harm:
 * the parser goes on with the next piece.
 */

/** Most bytes of one piece. */
const MAX_PIECE_BYTES = 16_384;

const HEAD_END = Buffer.from('\r\n\r\n');
const EMPTY = Buffer.alloc(0);
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Cuts the bytes of one connection. */
export class HeadScanner {
  /** Bytes that are known to belong to the current body. */
  private bodyLeft = 0;
  /** The last bytes before the next piece, if an end of a head may have begun in them. */
  private tail: Buffer = EMPTY;

  /** Called when a head has ended: a body of so many bytes follows it, or one of unknown length if it is 0. */
  beginBody(bytes: number): void {
    this.bodyLeft = bytes;
  }

  /** Length of the next piece: up to the end of a head, of a body, or of what is parsed at once. */
  pieceLength(rest: Buffer): number {
    const most = Math.min(rest.length, MAX_PIECE_BYTES);
    if (this.bodyLeft > 0) return Math.min(most, this.bodyLeft);
    return Math.min(most, this.findHeadEnd(rest) ?? most);
  }

  /** Records a piece before it is parsed. */
  record(piece: Buffer): void {
    if (this.bodyLeft > 0) this.bodyLeft -= piece.length;
    const last = piece.at(-1);
    const mayHaveBegun = last === LINE_FEED || last === CARRIAGE_RETURN;
    this.tail = mayHaveBegun ? this.lastBytes(piece) : EMPTY;
  }

  /** As many bytes up to the end of a piece as the end of a head may have before its last byte. */
  private lastBytes(piece: Buffer): Buffer {
    const most = HEAD_END.length - 1;
    const bytes = piece.length < most ? Buffer.concat([this.tail, piece]) : piece;
    return Buffer.from(bytes.subarray(-most));
  }

  /** Where the first head ends; undefined if none does. */
  private findHeadEnd(rest: Buffer): number | undefined {
    if (this.tail.length > 0) {
      const begin = Buffer.concat([this.tail, rest.subarray(0, HEAD_END.length - 1)]);
      const index = begin.indexOf(HEAD_END);
      if (index >= 0) return index + HEAD_END.length - this.tail.length;
    }
    const index = rest.indexOf(HEAD_END);
    return index < 0 ? undefined : index + HEAD_END.length;
  }
}
