/**
 * FIFO queues of one router. There is one queue for each workspace and pool (a model or an application
 * service), and separate ones for the requests that are pinned to an endpoint.
 */

/** Identifies a queue. */
export interface QueueKey {
  pool: string;
  workspace: string;
  /** Name of the only endpoint that may run the request. */
  pin?: string | undefined;
}

/** A request that can be queued. */
export interface QueueEntry {
  id: string;
  queueKey: QueueKey;
}

/** Length of one queue. */
export interface QueueLength {
  /** Key of the queue; the field's name is part of the status output. */
  line: QueueKey;
  count: number;
}

/** The queues of one router. */
export class RequestQueues<Entry extends QueueEntry> {
  private readonly queues = new Map<string, { queueKey: QueueKey; entries: Map<string, Entry> }>();
  private readonly waitingByWorkspace = new Map<string, number>();

  /** Returns the number of waiting requests of a workspace over all queues. */
  countByWorkspace(workspace: string): number {
    return this.waitingByWorkspace.get(workspace) ?? 0;
  }

  getQueueLength(queueKey: QueueKey): number {
    return this.queues.get(formatQueueKey(queueKey))?.entries.size ?? 0;
  }

  /** Appends a request to its queue. */
  push(entry: Entry): void {
    const key = formatQueueKey(entry.queueKey);
    const queue = this.queues.get(key) ?? {
      queueKey: entry.queueKey,
      entries: new Map<string, Entry>(),
    };
    queue.entries.set(entry.id, entry);
    this.queues.set(key, queue);
    this.adjustWaiting(entry.queueKey.workspace, 1);
  }

  /** Puts a request whose grant was refused or lost back at the head of its queue. */
  pushFront(entry: Entry): void {
    const rest = [...(this.queues.get(formatQueueKey(entry.queueKey))?.entries.values() ?? [])];
    for (const other of rest) this.remove(other);
    this.push(entry);
    rest.forEach((other) => this.push(other));
  }

  /** Removes and returns the oldest request of a queue. */
  shift(queueKey: QueueKey): Entry | undefined {
    const queue = this.queues.get(formatQueueKey(queueKey));
    const entry = queue?.entries.values().next().value;
    if (entry !== undefined) this.remove(entry);
    return entry;
  }

  /** Removes a request from its queue; returns false if it is not queued. */
  remove(entry: QueueEntry): boolean {
    const key = formatQueueKey(entry.queueKey);
    const queue = this.queues.get(key);
    if (queue?.entries.delete(entry.id) !== true) return false;
    if (queue.entries.size === 0) this.queues.delete(key);
    this.adjustWaiting(entry.queueKey.workspace, -1);
    return true;
  }

  /** Returns the lengths of all queues that are not empty. */
  listQueueLengths(): QueueLength[] {
    return [...this.queues.values()].map((queue) => ({
      line: queue.queueKey,
      count: queue.entries.size,
    }));
  }

  private adjustWaiting(workspace: string, change: number): void {
    const count = this.countByWorkspace(workspace) + change;
    if (count === 0) this.waitingByWorkspace.delete(workspace);
    else this.waitingByWorkspace.set(workspace, count);
  }
}

/** Formats a queue key as a string, for use as a map key. */
export function formatQueueKey(queueKey: QueueKey): string {
  return `${queueKey.pool}\u0000${queueKey.workspace}\u0000${queueKey.pin ?? ''}`;
}
