/**
 * Stand-in for the read side of the users' metadata store: paged range reads, long-polling watches,
 * compaction of the change history, return from an older copy, and simulated failures.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { readQuery, StandIn } from '../stand-in.ts';
import type { StandInRoute } from '../stand-in.ts';

/** Simulated condition of the store. */
export enum StoreCondition {
  Healthy = 'sound',
  /** Refuses every request with status 503. */
  Busy = 'busy',
  /** Accepts requests and never answers. */
  Silent = 'silent',
  /** Resets the connection of every request. */
  Reset = 'reset',
}

/** A key's value at one revision; also an entry of the change history. */
interface StoredItem {
  key: string;
  /** Base64 text; undefined for a deletion. */
  value: string | undefined;
  rev: number;
  createdRev: number;
}

const FIRST_REVISION = 100;
/** Items per page of a range read. */
const PAGE_ITEMS = 3;

/** The state of a store at one time. */
interface StoreCopy {
  items: StoredItem[];
  history: StoredItem[];
  revision: number;
}

/** A revisioned key-value store with the read protocol of the metadata store. */
export class PlatformStore extends StandIn {
  condition = StoreCondition.Healthy;
  /** Number of calls received, by path. */
  readonly calls = new Map<string, number>();
  private readonly items = new Map<string, StoredItem>();
  private history: StoredItem[] = [];
  private compactedRevision = FIRST_REVISION;
  private revision = FIRST_REVISION;
  private era = 1;
  private readonly pendingWatches = new Set<() => void>();
  /** Responses of the pending watches. */
  private readonly pendingResponses = new Set<ServerResponse>();

  constructor() {
    super('platform-store');
  }

  /** Stores a value (an object as JSON) and returns the new revision. */
  put(key: string, value: unknown): number {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.recordChange(key, Buffer.from(text).toString('base64'));
  }

  /** Deletes a key and returns the new revision. */
  remove(key: string): number {
    this.items.delete(key);
    return this.recordChange(key, undefined);
  }

  /** Compacts the history: drops all changes so far. Pending watches from before get status 410. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.notifyWatches();
  }

  /** Copies the current state, for `restore`. */
  copy(): StoreCopy {
    return {
      items: [...this.items.values()],
      history: [...this.history],
      revision: this.revision,
    };
  }

  /**
   * Returns to an earlier state: later changes are lost, and their revisions are given out again. Pending
   * watches are cut, since the store was away for a moment.
   */
  restore(copy: StoreCopy): void {
    this.items.clear();
    for (const item of copy.items) this.items.set(item.key, item);
    this.history = [...copy.history];
    this.revision = copy.revision;
    this.era += 1;
    for (const response of [...this.pendingResponses]) response.destroy();
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/kv-range',
        handler: (request, response) => this.handleRange(request, response),
      },
      {
        pattern: 'GET /v1/kv-watch',
        handler: (request, response) => this.handleWatch(request, response),
      },
    ];
  }

  private recordChange(key: string, value: string | undefined): number {
    this.revision += 1;
    const createdRev = this.items.get(key)?.createdRev ?? this.revision;
    const item = { key, value, rev: this.revision, createdRev };
    if (value !== undefined) this.items.set(key, item);
    this.history.push(item);
    this.notifyWatches();
    return this.revision;
  }

  private notifyWatches(): void {
    for (const notify of [...this.pendingWatches]) notify();
  }

  private handleRange(request: GatewayRequest, response: ServerResponse): void {
    if (!this.admit(request, response)) return;
    const query = readQuery(request);
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, PAGE_ITEMS).map((key) => formatItem(this.items.get(key)));
    const hasMore = keys.length > PAGE_ITEMS;
    sendJson(response, 200, { items, hasMore, currentRev: this.revision });
  }

  private handleWatch(request: GatewayRequest, response: ServerResponse): void {
    if (!this.admit(request, response)) return;
    const query = readQuery(request);
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('after'));
    const answerIfPossible = (): boolean => {
      if (response.writableEnded) return true;
      if (after < this.compactedRevision || after > this.revision) {
        sendJson(response, 410, { error: 'gone' });
        return true;
      }
      const events = this.history.filter(({ key, rev }) => key.startsWith(prefix) && rev > after);
      if (events.length === 0) return false;
      sendJson(response, 200, { events: events.map(formatItem), currentRev: this.revision });
      return true;
    };
    if (answerIfPossible()) return;
    const answerAndEnd = (): void => {
      if (answerIfPossible()) endWatch();
    };
    const timer = setTimeout(
      () => {
        endWatch();
        sendJson(response, 200, { events: [], currentRev: this.revision });
      },
      Number(query.get('waitMs')),
    );
    const endWatch = (): void => {
      clearTimeout(timer);
      this.pendingWatches.delete(answerAndEnd);
      this.pendingResponses.delete(response);
    };
    this.pendingWatches.add(answerAndEnd);
    this.pendingResponses.add(response);
    response.once('close', endWatch);
  }

  /** Counts the call and simulates the condition; returns whether to answer the call normally. */
  private admit(request: GatewayRequest, response: ServerResponse): boolean {
    const path = request.originalUrl.split('?', 1)[0] ?? '';
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
    response.setHeader('Store-Era', this.era);
    switch (this.condition) {
      case StoreCondition.Healthy:
        return true;
      case StoreCondition.Busy:
        sendJson(response, 503, { error: 'busy' });
        return false;
      case StoreCondition.Silent:
        return false;
      case StoreCondition.Reset:
        request.socket.resetAndDestroy();
        return false;
    }
  }
}

function formatItem(item: StoredItem | undefined): unknown {
  if (item === undefined) return undefined;
  const { key, value, rev, createdRev } = item;
  return value === undefined
    ? { key, rev, deleted: true }
    : { key, value, rev, createdRev, lease: 0 };
}
