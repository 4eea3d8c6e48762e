/**
 * Splits a stream of server-sent events into complete events without changing their bytes, and parses their
 * ids. Only complete events are forwarded, so that a stream can resume at another endpoint after the last
 * one. Each byte is looked at once: between two chunks, only the end of the last line is remembered.
 */
import { ByteAccumulator } from './byte-accumulator.ts';

/** A complete event. */
export interface StreamEvent {
  /** Raw bytes, including the blank line that ends the event. */
  bytes: Buffer;
  /** Numeric id; undefined if the event has none, or several. */
  id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELDS = /^id(?:: ?(.*))?$/gm;
const EVENT_ID = /^\d+$/;
/** A line that is neither blank nor a comment. */
const CONTENT_LINE = /^[^:\r\n]/m;

/** What the latest bytes of an incomplete event are, as far as they can belong to its end. */
enum LineEnd {
  None,
  LineFeed,
  /** A line feed and a carriage return. */
  CarriageReturn,
}

/** Where the bytes of an incomplete event are kept. */
export type EventBuffer = Pick<ByteAccumulator, 'length' | 'push' | 'take'>;

/** Buffers chunks and returns the complete events in them. */
export class EventSplitter {
  private readonly incomplete: EventBuffer;
  private lineEnd = LineEnd.None;

  constructor(incomplete: EventBuffer = new ByteAccumulator()) {
    this.incomplete = incomplete;
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    return this.incomplete.length;
  }

  /** Adds a chunk; returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = this.findEventEnd(chunk, 0); end >= 0; end = this.findEventEnd(chunk, start)) {
      const bytes = this.completeEvent(chunk.subarray(start, end));
      events.push({ bytes, id: findEventId(bytes) });
      start = end;
    }
    if (start < chunk.length) this.incomplete.push(chunk.subarray(start));
    return events;
  }

  private completeEvent(lastBytes: Buffer): Buffer {
    if (this.incomplete.length === 0) return lastBytes;
    this.incomplete.push(lastBytes);
    return this.incomplete.take();
  }

  /** Index after the blank line that ends the current event, or -1 if the event is incomplete. */
  private findEventEnd(chunk: Buffer, start: number): number {
    let at = start;
    while (at < chunk.length) {
      if (this.lineEnd === LineEnd.None) {
        const lineFeed = chunk.indexOf(LINE_FEED, at);
        if (lineFeed < 0) return -1;
        this.lineEnd = LineEnd.LineFeed;
        at = lineFeed + 1;
      } else if (chunk[at] === LINE_FEED) {
        this.lineEnd = LineEnd.None;
        return at + 1;
      } else if (this.lineEnd === LineEnd.LineFeed && chunk[at] === CARRIAGE_RETURN) {
        this.lineEnd = LineEnd.CarriageReturn;
        at += 1;
      } else {
        this.lineEnd = LineEnd.None;
      }
    }
    return -1;
  }
}

/** Whether an event consists of comment lines only, which endpoints send as heartbeats. */
export function isComment({ bytes, id }: StreamEvent): boolean {
  return id === undefined && !CONTENT_LINE.test(bytes.toString('latin1'));
}

/** Parses the id of an event; undefined if it is no number that can be counted on from. */
export function parseEventId(text: string): number | undefined {
  const id = Number(text);
  return EVENT_ID.test(text) && Number.isSafeInteger(id) ? id : undefined;
}

function findEventId(bytes: Buffer): number | undefined {
  const text = bytes.toString('latin1');
  ID_FIELDS.lastIndex = 0;
  const field = ID_FIELDS.exec(text);
  if (field === null || ID_FIELDS.test(text)) return undefined;
  return parseEventId(field[1] ?? '');
}
