/**
 * Queues of one router: first come, first served within a line. A line holds the requests of one
 * workspace for one pool (a model or an application service) and, for requests pinned to an
 * endpoint, that endpoint.
 */

/** What a request waits for and on whose behalf. */
export interface QueueKey {
  pool: string;
  workspace: string;
  /** Name of the only endpoint that may run the request. */
  pin?: string | undefined;
}

/** A waiting request; `Queued` adds what its owner needs. */
export interface QueueEntry {
  id: string;
  queueKey: QueueKey;
}

/** How many requests wait in a line. */
export interface QueueLength {
  line: QueueKey;
  count: number;
}

/** The queues of one router. */
export class RequestQueues<Queued extends QueueEntry> {
  private readonly lines = new Map<string, { line: QueueKey; entries: Map<string, Queued> }>();
  private readonly waitingOf = new Map<string, number>();

  /** Requests of a workspace that wait in any line. */
  countByWorkspace(workspace: string): number {
    return this.waitingOf.get(workspace) ?? 0;
  }

  getQueueLength(line: QueueKey): number {
    return this.lines.get(formatQueueKey(line))?.entries.size ?? 0;
  }

  /** Appends a request to its line. */
  push(entry: Queued): void {
    const key = formatQueueKey(entry.queueKey);
    const held = this.lines.get(key) ?? {
      line: entry.queueKey,
      entries: new Map<string, Queued>(),
    };
    held.entries.set(entry.id, entry);
    this.lines.set(key, held);
    this.addWaiting(entry.queueKey.workspace, 1);
  }

  /** Puts a request that was granted and refused back to the head of its line. */
  pushFront(entry: Queued): void {
    const rest = [...(this.lines.get(formatQueueKey(entry.queueKey))?.entries.values() ?? [])];
    for (const other of rest) this.remove(other);
    this.push(entry);
    rest.forEach((other) => this.push(other));
  }

  /** Takes the oldest request of a line. */
  shift(line: QueueKey): Queued | undefined {
    const held = this.lines.get(formatQueueKey(line));
    const entry = held?.entries.values().next().value;
    if (entry !== undefined) this.remove(entry);
    return entry;
  }

  /** Takes a request out; false if it does not wait. */
  remove(entry: QueueEntry): boolean {
    const key = formatQueueKey(entry.queueKey);
    const held = this.lines.get(key);
    if (held?.entries.delete(entry.id) !== true) return false;
    if (held.entries.size === 0) this.lines.delete(key);
    this.addWaiting(entry.queueKey.workspace, -1);
    return true;
  }

  /** All lines in which requests wait. */
  listQueueLengths(): QueueLength[] {
    return [...this.lines.values()].map((held) => ({ line: held.line, count: held.entries.size }));
  }

  private addWaiting(workspace: string, by: number): void {
    const count = this.countByWorkspace(workspace) + by;
    if (count === 0) this.waitingOf.delete(workspace);
    else this.waitingOf.set(workspace, count);
  }
}

/** A text that identifies a line. */
export function formatQueueKey(line: QueueKey): string {
  return `${line.pool}\u0000${line.workspace}\u0000${line.pin ?? ''}`;
}
