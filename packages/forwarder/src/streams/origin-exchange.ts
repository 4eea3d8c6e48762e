/**
 * Keeps the origins of streams at other routers, so that a stream can go on after the router that began it has gone.
 * Each stream has a few keepers among the routers, which any router can compute from its keys. The router that begins
 * a stream tells them, or later, as soon as other routers can't infer its origin any more; one at which a caller
 * resumes it asks them.
 */
import { rankByRendezvous } from '@poplarpick/decisions';
import type { StreamKey, StreamKeys, StreamOrigin } from '@poplarpick/decisions';
import { describeError, pollSockets } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { ByteBudget } from './byte-budget.ts';
import {
  decodeOriginMessage,
  encodeOriginMessage,
  MAX_KEYS_PER_RECORD,
  OriginMessageKind,
} from './origin-message.ts';
import type { OriginMessage, OriginRecord } from './origin-message.ts';
import type { StreamOrigins } from './stream-origins.ts';

/** Keepers of each stream. */
const KEEPERS = 3;

/** Most keys of one stream. */
const KEYS_PER_STREAM = 2;

/** Longest time that a record waits for others to the same router, in ms. */
const RECORD_DELAY_MS = 30;

/** Time after which a question is asked again, since datagrams get lost, and after which it has no answer, in ms. */
const QUERY_REPEAT_MS = 60;
const QUERY_TIMEOUT_MS = 180;

/** Period of the check whether streams have to be told that didn't have to when they began, in ms. */
const BACKLOG_PERIOD_MS = 100;

/** Most of these streams that are told in one period. */
const MAX_BACKLOG_STREAMS = 20;

/**
 * Bytes of records a second above which these streams wait, so that a new version causes no burst of datagrams: what
 * the records cost while several versions serve and all streams may be resumed.
 */
const RECORD_BYTES_PER_SECOND = 4_100;

/** Bytes of the IP and UDP headers of a datagram. */
const DATAGRAM_HEADER_BYTES = 28;

/** Shortest time between two log lines about invalid messages, in ms. */
const LOG_PERIOD_MS = 60_000;

/** What the keepers of a stream know. */
export interface KeeperAnswer {
  /** Undefined if no keeper that answered remembers the stream. */
  origin: StreamOrigin | undefined;
  /** At least one keeper has answered. */
  hasAnswered: boolean;
  /** At least one keeper was asked: this router knows of others. */
  wasAsked: boolean;
}

/** The answer where no other router is known. */
const NO_KEEPER: KeeperAnswer = { origin: undefined, hasAnswered: false, wasAsked: false };

/** A question for the origin of one stream, asked of several keepers. */
class PendingQuery {
  readonly result: Promise<KeeperAnswer>;
  private readonly unansweredKeepers: Set<string>;
  private hasAnswered = false;
  private resolve: (answer: KeeperAnswer) => void = () => undefined;

  constructor(keepers: readonly string[]) {
    this.unansweredKeepers = new Set(keepers);
    this.result = new Promise((resolve) => (this.resolve = resolve));
  }

  /** The keepers that haven't answered yet. */
  get unanswered(): Iterable<string> {
    return this.unansweredKeepers;
  }

  /** Records the answer of a keeper. The first one that remembers the stream counts, else the last one. */
  recordAnswer(keeper: string, origin: StreamOrigin | undefined): void {
    if (!this.unansweredKeepers.delete(keeper)) return;
    this.hasAnswered = true;
    if (origin !== undefined || this.unansweredKeepers.size === 0) this.finish(origin);
  }

  finish(origin: StreamOrigin | undefined): void {
    this.resolve({ origin, hasAnswered: this.hasAnswered, wasAsked: true });
  }
}

/** Options of an `OriginExchange`. */
export interface OriginExchangeOptions {
  /** `IP:port` by which other routers know this one. */
  address: string;
  clock: Clock;
  log: Logger;
  origins: StreamOrigins;
  /** Addresses of the other live routers. */
  routers: () => string[];
  /** Sends a datagram. */
  transmit: (target: string, message: Buffer) => void;
  /** Resolves once the datagrams that have come have been read. By default, the sockets are polled. */
  awaitRead?: () => Promise<void>;
}

/** Tells and asks keepers. */
export class OriginExchange {
  private readonly options: OriginExchangeOptions;
  /** Records that wait to be sent, by target and origin. */
  private readonly waiting = new Map<string, { target: string; record: OriginRecord }>();
  private readonly queries = new Map<StreamKey, PendingQuery>();
  private readonly recordBudget: ByteBudget;
  private sendTimer: Timer | undefined;
  private backlogTimer: Timer | undefined;
  private loggedAt = Number.NEGATIVE_INFINITY;

  constructor(options: OriginExchangeOptions) {
    this.options = options;
    this.recordBudget = new ByteBudget({
      bytesPerSecond: RECORD_BYTES_PER_SECOND,
      now: options.clock.monotonic(),
    });
    options.origins.onUninferable((keys, origin, keepMs) => this.tell(keys, origin, keepMs));
  }

  /** Starts to tell the streams of which the keepers weren't told when they began. */
  open(): void {
    this.backlogTimer = this.options.clock.every(BACKLOG_PERIOD_MS, () => this.tellBacklog());
  }

  close(): void {
    this.sendTimer?.stop();
    this.backlogTimer?.stop();
  }

  /** Asks the keepers of a stream for its origin: by its request if the caller names it, else by its prompt. */
  async ask(keys: StreamKeys): Promise<KeeperAnswer> {
    const key = keys.byRequest ?? keys.byPrompt;
    const targets = this.selectKeepers(keys);
    if (key === undefined || targets.length === 0) return NO_KEEPER;
    const pending = this.queries.get(key);
    if (pending !== undefined) return pending.result;
    const query = this.createQuery(key, targets);
    this.queries.set(key, query);
    this.sendQuery(key, query);
    return query.result;
  }

  /** Accepts a message from the router at `sender`. */
  receive(datagram: Buffer, sender: string): void {
    const message = this.decode(datagram);
    switch (message?.kind) {
      case OriginMessageKind.Record:
        for (const key of message.keys)
          this.options.origins.record(key, message.origin, message.keepMs);
        return;
      case OriginMessageKind.Query: {
        const origin = this.options.origins.findRecorded(message.key);
        this.send(sender, { kind: OriginMessageKind.Answer, key: message.key, origin });
        return;
      }
      case OriginMessageKind.Answer:
        this.queries.get(message.key)?.recordAnswer(sender, message.origin);
        return;
      case undefined:
    }
  }

  private createQuery(key: StreamKey, targets: readonly string[]): PendingQuery {
    const { clock, awaitRead = pollSockets } = this.options;
    const query = new PendingQuery(targets);
    const timers = [
      clock.after(QUERY_REPEAT_MS, () => this.sendQuery(key, query)),
      clock.after(QUERY_TIMEOUT_MS, () => void awaitRead().then(() => query.finish(undefined))),
    ];
    void query.result.then(() => {
      for (const timer of timers) timer.stop();
      this.queries.delete(key);
    });
    return query;
  }

  private tellBacklog(): void {
    const { clock, log, origins } = this.options;
    if (!this.recordBudget.hasLeft(clock.monotonic())) return;
    const count = origins.tellUninferable(MAX_BACKLOG_STREAMS);
    if (count > 0) log.info({ event: 'streams.origins_told', streams: count });
  }

  /** Tells the keepers of a stream its origin, together with other streams that begin within a moment. */
  private tell(streamKeys: StreamKeys, origin: StreamOrigin, keepMs: number): void {
    const { byRequest, byPrompt } = streamKeys;
    const added = [byRequest, byPrompt].filter((key) => key !== undefined);
    for (const target of this.selectKeepers(streamKeys)) {
      const id = [target, origin.pool, origin.version, keepMs].join('\u0000');
      const keys = [...(this.waiting.get(id)?.record.keys ?? []), ...added];
      const record = { kind: OriginMessageKind.Record, origin, keepMs, keys } as const;
      this.waiting.set(id, { target, record });
      if (keys.length > MAX_KEYS_PER_RECORD - KEYS_PER_STREAM) this.sendRecords();
    }
    this.sendTimer ??= this.options.clock.after(RECORD_DELAY_MS, () => this.sendRecords());
  }

  private sendRecords(): void {
    this.sendTimer?.stop();
    this.sendTimer = undefined;
    const now = this.options.clock.monotonic();
    for (const { target, record } of this.waiting.values()) {
      const bytes = this.send(target, record);
      this.recordBudget.spend(bytes + DATAGRAM_HEADER_BYTES, now);
    }
    this.waiting.clear();
  }

  private sendQuery(key: StreamKey, { unanswered }: PendingQuery): void {
    for (const target of unanswered) this.send(target, { kind: OriginMessageKind.Query, key });
  }

  /** Sends a message; returns its length in bytes. */
  private send(target: string, message: OriginMessage): number {
    const datagram = encodeOriginMessage(message);
    this.options.transmit(target, datagram);
    return datagram.length;
  }

  /** The other routers among the keepers of a stream. They follow from its prompt, which each request repeats. */
  private selectKeepers({ byRequest, byPrompt }: StreamKeys): string[] {
    const { address, routers } = this.options;
    return rankByRendezvous(String(byPrompt ?? byRequest), [address, ...routers()])
      .slice(0, KEEPERS)
      .filter((keeper) => keeper !== address);
  }

  private decode(datagram: Buffer): OriginMessage | undefined {
    const { clock, log } = this.options;
    try {
      return decodeOriginMessage(datagram);
    } catch (error) {
      const now = clock.monotonic();
      if (now - this.loggedAt < LOG_PERIOD_MS) return undefined;
      this.loggedAt = now;
      const reason = describeError(error).split('\n')[0];
      log.warn({ event: 'peers.unreadable_origin', reason });
      return undefined;
    }
  }
}
