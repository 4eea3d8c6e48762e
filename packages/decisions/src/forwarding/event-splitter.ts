/**
 * Cuts a stream of server-sent events into whole events, byte for byte as they came, and reads their
 * ids. Only whole events are passed on, so that a stream can go on at another endpoint after the last.
 */

/** One whole event. */
export interface StreamEvent {
  /** Its bytes, with the blank line that ends it. */
  bytes: Buffer;
  /** Its id; undefined where it has none. */
  id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

/** Collects chunks and hands out the whole events in them. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has begun and not ended. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Adds a chunk; returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const data = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEnd(data, start); end > 0; end = findEnd(data, start)) {
      const bytes = data.subarray(start, end);
      events.push({ bytes, id: readId(bytes) });
      start = end;
    }
    this.rest = data.subarray(start);
    return events;
  }
}

/** Position after the blank line that ends the event at `start`, or -1. */
function findEnd(data: Buffer, start: number): number {
  for (let at = data.indexOf(LINE_FEED, start); at >= 0; at = data.indexOf(LINE_FEED, at + 1)) {
    if (data[at + 1] === LINE_FEED) return at + 2;
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function readId(bytes: Buffer): number | undefined {
  const match = ID_FIELD.exec(bytes.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
