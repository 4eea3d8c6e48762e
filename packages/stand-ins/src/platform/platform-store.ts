/**
 * Stand-in of the users' metadata store, as far as it can be read: ranges in pages, watches, a history
 * that goes, and the ways in which it fails.
 */
import type { ServerResponse } from 'node:http';
import { sendJson } from '@poplarpick/fleet';
import type { GatewayRequest } from '@poplarpick/fleet';
import { readQuery, StandIn } from '../stand-in.ts';
import type { StandInRoute } from '../stand-in.ts';

/** How the store answers. */
export enum StoreCondition {
  Healthy = 'sound',
  /** Turns everyone away. */
  Busy = 'busy',
  /** Takes requests and never answers. */
  Silent = 'silent',
  /** Resets connections. */
  Reset = 'reset',
}

interface StoredItem {
  key: string;
  /** Undefined where deleted. */
  value: string | undefined;
  rev: number;
  createdRev: number;
}

const FIRST_REVISION = 100;
const PAGE_ITEMS = 3;

/** The store. */
export class PlatformStore extends StandIn {
  condition = StoreCondition.Healthy;
  /** Calls that were answered, by path. */
  readonly calls = new Map<string, number>();
  private readonly items = new Map<string, StoredItem>();
  private history: StoredItem[] = [];
  private oldest = FIRST_REVISION;
  private revision = FIRST_REVISION;
  private readonly waiting = new Set<() => void>();

  constructor() {
    super('platform-store');
  }

  /** Writes an item; returns its revision. */
  put(key: string, value: unknown): number {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.change(key, Buffer.from(text).toString('base64'));
  }

  remove(key: string): number {
    this.items.delete(key);
    return this.change(key, undefined);
  }

  /** Forgets all changes so far; waiting watches are cut. */
  compact(): void {
    this.history = [];
    this.oldest = this.revision;
    this.wake();
  }

  protected override routes(): StandInRoute[] {
    return [
      {
        pattern: 'GET /v1/kv-range',
        handler: (request, response) => this.range(request, response),
      },
      {
        pattern: 'GET /v1/kv-watch',
        handler: (request, response) => this.watch(request, response),
      },
    ];
  }

  private change(key: string, value: string | undefined): number {
    this.revision += 1;
    const createdRev = this.items.get(key)?.createdRev ?? this.revision;
    const item = { key, value, rev: this.revision, createdRev };
    if (value !== undefined) this.items.set(key, item);
    this.history.push(item);
    this.wake();
    return this.revision;
  }

  private wake(): void {
    for (const wake of [...this.waiting]) wake();
  }

  private range(request: GatewayRequest, response: ServerResponse): void {
    if (!this.isServing(request, response)) return;
    const query = readQuery(request);
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const items = keys.slice(0, PAGE_ITEMS).map((key) => describe(this.items.get(key)));
    const hasMore = keys.length > PAGE_ITEMS;
    sendJson(response, 200, { items, hasMore, currentRev: this.revision });
  }

  private watch(request: GatewayRequest, response: ServerResponse): void {
    if (!this.isServing(request, response)) return;
    const query = readQuery(request);
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('after'));
    const answer = (): boolean => {
      if (response.writableEnded) return true;
      if (after < this.oldest) {
        sendJson(response, 410, { error: 'gone' });
        return true;
      }
      const events = this.history.filter(({ key, rev }) => key.startsWith(prefix) && rev > after);
      if (events.length === 0) return false;
      sendJson(response, 200, { events: events.map(describe), currentRev: this.revision });
      return true;
    };
    if (answer()) return;
    const wake = (): void => {
      if (answer()) end();
    };
    const timer = setTimeout(
      () => {
        end();
        sendJson(response, 200, { events: [], currentRev: this.revision });
      },
      Number(query.get('waitMs')),
    );
    const end = (): void => {
      clearTimeout(timer);
      this.waiting.delete(wake);
    };
    this.waiting.add(wake);
    response.once('close', end);
  }

  private isServing(request: GatewayRequest, response: ServerResponse): boolean {
    const path = request.originalUrl.split('?', 1)[0] ?? '';
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
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

function describe(item: StoredItem | undefined): unknown {
  if (item === undefined) return undefined;
  const { key, value, rev, createdRev } = item;
  return value === undefined
    ? { key, rev, deleted: true }
    : { key, value, rev, createdRev, lease: 0 };
}
