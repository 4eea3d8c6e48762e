/**
 * Reports the queue lengths of a router to its sidecars with as few notifications as possible, but
 * without leaving a slot idle while requests wait. A queue that becomes non-empty is reported to two
 * sidecars first, and to all after a short delay if requests still wait. From then on, a sidecar
 * receives a notification only when a length has doubled or halved since the last report to it, or has
 * changed from or to 0; it learns exact lengths from the answers to its claims. Decreases are reported
 * later than increases, since a claim that finds its first queue empty falls back to the next one that
 * it lists.
 */
import { EndpointKind, formatQueueKey } from '@poplarpick/decisions';
import type { FleetConfiguration, QueueLength, QueueKey } from '@poplarpick/decisions';
import type { Clock, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { NotificationMethod } from '../messages.ts';
import type { BacklogQueue } from '../messages.ts';

/** Number of sidecars to which a newly non-empty queue is reported first. */
const INITIAL_OFFERS = 2;

/** Delay after which a newly non-empty queue is reported to all sidecars. */
const OFFER_WIDEN_DELAY_MS = 8;

/** Time over which increases are batched into one notification. */
const INCREASE_DELAY_MS = 2;

/** Time over which decreases are batched into one notification. */
const DECREASE_DELAY_MS = 50;

/** Factor by which a queue length must change to be reported. */
const REPORT_FACTOR = 2;

/** Options of a `BacklogAnnouncer`. */
export interface BacklogAnnouncerOptions {
  clock: Clock;
  getQueueLength: (queueKey: QueueKey) => number;
  listQueueLengths: () => QueueLength[];
  /** Called from a timer, outside of the owner's task, when `announce` is due. */
  onDue: () => void;
}

/** A queue whose length may differ from the reported lengths. */
interface DirtyQueue {
  queueKey: QueueKey;
  /**
   * Monotonic time from which the queue is reported to all sidecars that can serve it; until then only
   * to `INITIAL_OFFERS` of them.
   */
  wideAt: number;
}

/** Queue lengths that were last reported to a sidecar, by formatted queue key. */
type ReportedCounts = Map<string, number>;

/** Reports the queue lengths of one router to its sidecars. */
export class BacklogAnnouncer {
  private readonly options: BacklogAnnouncerOptions;
  private readonly reportedCounts = new Map<Peer, ReportedCounts>();
  private readonly dirtyQueues = new Map<string, DirtyQueue>();
  private readonly timers = new Map<number, Timer>();
  private configuration: FleetConfiguration | undefined;
  private nextDecreasesAt = 0;
  private rotationOffset = 0;
  private lastSequence = 0;

  constructor(options: BacklogAnnouncerOptions) {
    this.options = options;
  }

  /** Applies a configuration and resends the backlog, since other sidecars may now serve a queue. */
  configure(configuration: FleetConfiguration): void {
    this.configuration = configuration;
    this.sendFullBacklogToAll();
  }

  /** Sends every sidecar the lengths of all queues that it can serve. */
  sendFullBacklogToAll(): void {
    for (const peer of this.reportedCounts.keys()) this.sendFullBacklog(peer);
  }

  addPeer(peer: Peer): void {
    this.sendFullBacklog(peer);
  }

  removePeer(peer: Peer): void {
    this.reportedCounts.delete(peer);
  }

  /** Records that the length of a queue has changed. */
  recordChange(queueKey: QueueKey): void {
    const key = formatQueueKey(queueKey);
    if (!this.dirtyQueues.has(key)) {
      const isNew = ![...this.reportedCounts.values()].some((counts) => counts.has(key));
      const wideAt = isNew ? this.options.clock.monotonic() + OFFER_WIDEN_DELAY_MS : 0;
      this.dirtyQueues.set(key, { queueKey, wideAt });
    }
    this.scheduleAnnounce(INCREASE_DELAY_MS);
  }

  /** Returns the sequence number for the next notification or claim answer. */
  nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  /** Records the length of a queue that a sidecar learns from the answer to a claim. */
  recordReported(peer: Peer, queueKey: QueueKey, count: number): void {
    const counts = this.reportedCounts.get(peer);
    if (counts !== undefined) setCount(counts, formatQueueKey(queueKey), count);
  }

  /** Sends the notifications that are due. */
  announce(): void {
    const now = this.options.clock.monotonic();
    const withDecreases = now >= this.nextDecreasesAt;
    const peers = this.rotatePeers();
    const changedQueues = new Map<Peer, BacklogQueue[]>();
    for (const [key, entry] of this.dirtyQueues) {
      const isComplete = this.collectUpdates({
        entry,
        key,
        now,
        withDecreases,
        peers,
        changedQueues,
      });
      if (isComplete) this.dirtyQueues.delete(key);
    }
    if (withDecreases) this.nextDecreasesAt = now + DECREASE_DELAY_MS;
    for (const [peer, queues] of changedQueues) {
      peer.link.notify(NotificationMethod.Backlog, {
        full: false,
        sequence: this.nextSequence(),
        lines: queues,
      });
    }
  }

  stop(): void {
    this.timers.forEach((timer) => timer.stop());
    this.timers.clear();
  }

  /** Adds a changed queue to the updates of the peers; returns false if a part of this is postponed. */
  private collectUpdates(input: {
    entry: DirtyQueue;
    key: string;
    now: number;
    withDecreases: boolean;
    peers: readonly Peer[];
    changedQueues: Map<Peer, BacklogQueue[]>;
  }): boolean {
    const { entry, key, now, withDecreases, changedQueues } = input;
    const count = this.options.getQueueLength(entry.queueKey);
    const servingPeers = input.peers.filter((peer) => this.canServe(peer, entry.queueKey));
    // An empty queue is reported to all: `isReportable` skips those that never received a length.
    const reportsToAll = now >= entry.wideAt || count > INITIAL_OFFERS || count === 0;
    const recipients = reportsToAll ? servingPeers : servingPeers.slice(0, INITIAL_OFFERS);
    let isComplete = reportsToAll;
    if (!isComplete) this.scheduleAnnounce(OFFER_WIDEN_DELAY_MS);
    for (const peer of recipients) {
      const counts = this.reportedCounts.get(peer);
      const lastReported = counts?.get(key) ?? 0;
      if (counts === undefined || !isReportable(lastReported, count)) continue;
      if (count < lastReported && !withDecreases) {
        isComplete = false;
        this.scheduleAnnounce(DECREASE_DELAY_MS);
        continue;
      }
      setCount(counts, key, count);
      const queues = changedQueues.get(peer) ?? [];
      queues.push(toBacklogQueue(entry.queueKey, count));
      changedQueues.set(peer, queues);
    }
    return isComplete;
  }

  /** Rotates the order of the peers, so that initial offers go to different sidecars in turn. */
  private rotatePeers(): Peer[] {
    const peers = [...this.reportedCounts.keys()];
    this.rotationOffset = (this.rotationOffset + INITIAL_OFFERS) % Math.max(1, peers.length);
    return [...peers.slice(this.rotationOffset), ...peers.slice(0, this.rotationOffset)];
  }

  private scheduleAnnounce(delayMs: number): void {
    if (this.timers.has(delayMs)) return;
    const timer = this.options.clock.after(delayMs, () => {
      this.timers.delete(delayMs);
      this.options.onDue();
    });
    this.timers.set(delayMs, timer);
  }

  private sendFullBacklog(peer: Peer): void {
    const queues = this.options.listQueueLengths().filter(({ line }) => this.canServe(peer, line));
    this.reportedCounts.set(
      peer,
      new Map(queues.map(({ line, count }) => [formatQueueKey(line), count])),
    );
    peer.link.notify(NotificationMethod.Backlog, {
      full: true,
      sequence: this.nextSequence(),
      lines: queues.map(({ line, count }) => toBacklogQueue(line, count)),
    });
  }

  private canServe(peer: Peer, queueKey: QueueKey): boolean {
    if (queueKey.pin !== undefined) return queueKey.pin === peer.endpoint;
    const endpoint = this.configuration?.endpoints.find((entry) => entry.name === peer.endpoint);
    if (endpoint === undefined) return false;
    if (endpoint.kind === EndpointKind.Application) return endpoint.service === queueKey.pool;
    return endpoint.models.includes(queueKey.pool);
  }
}

/** Whether a queue has become empty or non-empty, or its length has changed by the report factor. */
function isReportable(lastReported: number, count: number): boolean {
  if (lastReported === count) return false;
  if (lastReported === 0 || count === 0) return true;
  return count >= lastReported * REPORT_FACTOR || count * REPORT_FACTOR <= lastReported;
}

function setCount(counts: ReportedCounts, key: string, count: number): void {
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

function toBacklogQueue({ pool, workspace, pin }: QueueKey, count: number): BacklogQueue {
  return { pool, workspace, pinned: pin !== undefined, count };
}
