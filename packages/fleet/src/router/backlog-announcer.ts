/**
 * Tells sidecars what waits in a router, in as few messages as leave no slot idle. A line that begins
 * to hold requests is offered to two sidecars first, and to all a moment later if something still
 * waits. After that a sidecar is told only when a count has doubled or halved since it was last told,
 * and learns exact counts from the answers to its claims. Decreases are told later than increases,
 * since a claim that finds its first line empty takes another.
 */
import { EndpointKind, formatQueueKey } from '@poplarpick/decisions';
import type { FleetConfiguration, QueueLength, QueueKey } from '@poplarpick/decisions';
import type { Clock, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { NoticeMethod } from '../messages.ts';
import type { BacklogLine } from '../messages.ts';

/** Sidecars that are offered a new line first. */
const OFFERS = 2;

/** Time after which a line that was offered is told to all. */
const WIDEN_MS = 8;

/** Time over which increases are gathered into one notice. */
const INCREASE_DELAY_MS = 2;

/** Time over which decreases are gathered. */
const DECREASE_DELAY_MS = 50;

/** Change of a count that is told. */
const TOLD_FACTOR = 2;

/** Options of a `BacklogAnnouncer`. */
export interface BacklogAnnouncerOptions {
  clock: Clock;
  getQueueLength: (line: QueueKey) => number;
  listQueueLengths: () => QueueLength[];
  /** Called when `announce` is due, outside of the owner's task. */
  onDue: () => void;
}

interface DirtyLine {
  line: QueueKey;
  /** Time from which on all sidecars may be told; before, only some are offered the line. */
  wideAt: number;
}

/** Counts that a sidecar was told, by line. */
type ToldCounts = Map<string, number>;

/** Announces the backlog of one router. */
export class BacklogAnnouncer {
  private readonly options: BacklogAnnouncerOptions;
  private readonly told = new Map<Peer, ToldCounts>();
  private readonly dirty = new Map<string, DirtyLine>();
  private readonly timers = new Map<number, Timer>();
  private configuration: FleetConfiguration | undefined;
  private decreasesAt = 0;
  private turn = 0;
  private lastSequence = 0;

  constructor(options: BacklogAnnouncerOptions) {
    this.options = options;
  }

  /** Sends everything anew, since other sidecars may now serve a line. */
  configure(configuration: FleetConfiguration): void {
    this.configuration = configuration;
    this.announceAll();
  }

  /** Sends the whole backlog to all sidecars. */
  announceAll(): void {
    for (const peer of this.told.keys()) this.sendAll(peer);
  }

  addPeer(peer: Peer): void {
    this.sendAll(peer);
  }

  removePeer(peer: Peer): void {
    this.told.delete(peer);
  }

  /** Notes that the count of a line has changed. */
  recordChange(line: QueueKey): void {
    const key = formatQueueKey(line);
    if (!this.dirty.has(key)) {
      const isNew = ![...this.told.values()].some((counts) => counts.has(key));
      const wideAt = isNew ? this.options.clock.monotonic() + WIDEN_MS : 0;
      this.dirty.set(key, { line, wideAt });
    }
    this.wake(INCREASE_DELAY_MS);
  }

  /** Sequence number of what is told next. */
  nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  /** Notes that a sidecar learns the count of a line from the answer to a claim. */
  recordReported(peer: Peer, line: QueueKey, count: number): void {
    const counts = this.told.get(peer);
    if (counts !== undefined) setCount(counts, formatQueueKey(line), count);
  }

  /** Sends what is due now. */
  announce(): void {
    const now = this.options.clock.monotonic();
    const withDecreases = now >= this.decreasesAt;
    const peers = this.rotatePeers();
    const notices = new Map<Peer, BacklogLine[]>();
    for (const [key, entry] of this.dirty) {
      const isSettled = this.gather({ entry, key, now, withDecreases, peers, notices });
      if (isSettled) this.dirty.delete(key);
    }
    if (withDecreases) this.decreasesAt = now + DECREASE_DELAY_MS;
    for (const [peer, lines] of notices) {
      peer.link.notify(NoticeMethod.Backlog, { full: false, sequence: this.nextSequence(), lines });
    }
  }

  stop(): void {
    this.timers.forEach((timer) => timer.stop());
    this.timers.clear();
  }

  /** Adds what is to be told of one line; false where some of it must wait. */
  private gather(step: {
    entry: DirtyLine;
    key: string;
    now: number;
    withDecreases: boolean;
    peers: readonly Peer[];
    notices: Map<Peer, BacklogLine[]>;
  }): boolean {
    const { entry, key, now, withDecreases, notices } = step;
    const count = this.options.getQueueLength(entry.line);
    const serving = step.peers.filter((peer) => this.canServe(peer, entry.line));
    // That nothing waits any more concerns all who were offered it.
    const isWide = now >= entry.wideAt || count > OFFERS || count === 0;
    const chosen = isWide ? serving : serving.slice(0, OFFERS);
    let isSettled = isWide;
    if (!isSettled) this.wake(WIDEN_MS);
    for (const peer of chosen) {
      const counts = this.told.get(peer);
      const known = counts?.get(key) ?? 0;
      if (counts === undefined || !isWorthTelling(known, count)) continue;
      if (count < known && !withDecreases) {
        isSettled = false;
        this.wake(DECREASE_DELAY_MS);
        continue;
      }
      setCount(counts, key, count);
      const lines = notices.get(peer) ?? [];
      lines.push(describeLine(entry.line, count));
      notices.set(peer, lines);
    }
    return isSettled;
  }

  /** A different peer comes first each time, so that offers go round. */
  private rotatePeers(): Peer[] {
    const peers = [...this.told.keys()];
    this.turn = (this.turn + OFFERS) % Math.max(1, peers.length);
    return [...peers.slice(this.turn), ...peers.slice(0, this.turn)];
  }

  private wake(delayMs: number): void {
    if (this.timers.has(delayMs)) return;
    const timer = this.options.clock.after(delayMs, () => {
      this.timers.delete(delayMs);
      this.options.onDue();
    });
    this.timers.set(delayMs, timer);
  }

  private sendAll(peer: Peer): void {
    const lines = this.options.listQueueLengths().filter(({ line }) => this.canServe(peer, line));
    this.told.set(peer, new Map(lines.map(({ line, count }) => [formatQueueKey(line), count])));
    peer.link.notify(NoticeMethod.Backlog, {
      full: true,
      sequence: this.nextSequence(),
      lines: lines.map(({ line, count }) => describeLine(line, count)),
    });
  }

  private canServe(peer: Peer, line: QueueKey): boolean {
    if (line.pin !== undefined) return line.pin === peer.endpoint;
    const endpoint = this.configuration?.endpoints.find((entry) => entry.name === peer.endpoint);
    if (endpoint === undefined) return false;
    if (endpoint.kind === EndpointKind.Application) return endpoint.service === line.pool;
    return endpoint.models.includes(line.pool);
  }
}

/** Whether something begins or ceases to wait, or has changed by the factor. */
function isWorthTelling(known: number, count: number): boolean {
  if (known === count) return false;
  if (known === 0 || count === 0) return true;
  return count >= known * TOLD_FACTOR || count * TOLD_FACTOR <= known;
}

function setCount(counts: ToldCounts, key: string, count: number): void {
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

function describeLine({ pool, workspace, pin }: QueueKey, count: number): BacklogLine {
  return { pool, workspace, pinned: pin !== undefined, count };
}
