/**
 * Splits a stream of server-sent events into complete events without changing their bytes, and parses their
 * ids. Only complete events are forwarded, so that a stream can resume at another endpoint after the last
 * one.
 */

/** A complete event. */
export interface StreamEvent {
  /** Raw bytes, including the blank line that ends the event. */
  bytes: Buffer;
  /** Numeric id; undefined if the event has none. */
  id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Buffers chunks and returns the complete events in them. */
export class EventSplitter {
  private incomplete: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes that belong to an incomplete event. */
  get pendingBytes(): number {
    return this.incomplete.length;
  }

  /** Adds a chunk; returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const data = this.incomplete.length === 0 ? chunk : Buffer.concat([this.incomplete, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
      const bytes = data.subarray(start, end);
      events.push({ bytes, id: parseEventId(bytes) });
      start = end;
    }
    this.incomplete = data.subarray(start);
    return events;
  }
}

/** Index after the blank line that ends the event at `start`, or -1 if the event is incomplete. */
function findEventEnd(data: Buffer, start: number): number {
  for (let at = data.indexOf(LINE_FEED, start); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    if (data[at + 1] === LINE_FEED) return at + 2;
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function parseEventId(bytes: Buffer): number | undefined {
  const match = ID_FIELD.exec(bytes.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
