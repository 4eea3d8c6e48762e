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
const INITIAL_OFFERS = 2;

/** Time after which a line that was offered is told to all. */
const OFFER_WIDEN_DELAY_MS = 8;

/** Time over which increases are gathered into one notice. */
const INCREASE_DELAY_MS = 2;

/** Time over which decreases are gathered. */
const DECREASE_DELAY_MS = 50;

/** Change of a count that is told. */
const REPORT_FACTOR = 2;

/** Options of a `BacklogAnnouncer`. */
export interface BacklogAnnouncerOptions {
  clock: Clock;
  getQueueLength: (queueKey: QueueKey) => number;
  listQueueLengths: () => QueueLength[];
  /** Called when `announce` is due, outside of the owner's task. */
  onDue: () => void;
}

interface DirtyQueue {
  queueKey: QueueKey;
  /** Time from which on all sidecars may be told; before, only some are offered the line. */
  reportToAllAt: number;
}

/** Counts that a sidecar was told, by line. */
type ReportedCounts = Map<string, number>;

/** Announces the backlog of one router. */
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

  /** Sends everything anew, since other sidecars may now serve a line. */
  configure(configuration: FleetConfiguration): void {
    this.configuration = configuration;
    this.sendFullBacklogToAll();
  }

  /** Sends the whole backlog to all sidecars. */
  sendFullBacklogToAll(): void {
    for (const peer of this.reportedCounts.keys()) this.sendFullBacklog(peer);
  }

  addPeer(peer: Peer): void {
    this.sendFullBacklog(peer);
  }

  removePeer(peer: Peer): void {
    this.reportedCounts.delete(peer);
  }

  /** Notes that the count of a line has changed. */
  recordChange(queueKey: QueueKey): void {
    const key = formatQueueKey(queueKey);
    if (!this.dirtyQueues.has(key)) {
      const isNew = ![...this.reportedCounts.values()].some((counts) => counts.has(key));
      const reportToAllAt = isNew ? this.options.clock.monotonic() + OFFER_WIDEN_DELAY_MS : 0;
      this.dirtyQueues.set(key, { queueKey, reportToAllAt });
    }
    this.scheduleAnnounce(INCREASE_DELAY_MS);
  }

  /** Sequence number of what is told next. */
  nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  /** Notes that a sidecar learns the count of a line from the answer to a claim. */
  recordReported(peer: Peer, queueKey: QueueKey, count: number): void {
    const counts = this.reportedCounts.get(peer);
    if (counts !== undefined) setCount(counts, formatQueueKey(queueKey), count);
  }

  /** Sends what is due now. */
  announce(): void {
    const now = this.options.clock.monotonic();
    const withDecreases = now >= this.nextDecreasesAt;
    const peers = this.rotatePeers();
    const notices = new Map<Peer, BacklogLine[]>();
    for (const [key, entry] of this.dirtyQueues) {
      const isComplete = this.collectNotices({ entry, key, now, withDecreases, peers, notices });
      if (isComplete) this.dirtyQueues.delete(key);
    }
    if (withDecreases) this.nextDecreasesAt = now + DECREASE_DELAY_MS;
    for (const [peer, lines] of notices) {
      peer.link.notify(NoticeMethod.Backlog, { full: false, sequence: this.nextSequence(), lines });
    }
  }

  stop(): void {
    this.timers.forEach((timer) => timer.stop());
    this.timers.clear();
  }

  /** Adds what is to be told of one line; false where some of it must wait. */
  private collectNotices(input: {
    entry: DirtyQueue;
    key: string;
    now: number;
    withDecreases: boolean;
    peers: readonly Peer[];
    notices: Map<Peer, BacklogLine[]>;
  }): boolean {
    const { entry, key, now, withDecreases, notices } = input;
    const count = this.options.getQueueLength(entry.queueKey);
    const servingPeers = input.peers.filter((peer) => this.canServe(peer, entry.queueKey));
    // That nothing waits any more concerns all who were offered it.
    const reportsToAll = now >= entry.reportToAllAt || count > INITIAL_OFFERS || count === 0;
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
      const lines = notices.get(peer) ?? [];
      lines.push(toBacklogLine(entry.queueKey, count));
      notices.set(peer, lines);
    }
    return isComplete;
  }

  /** A different peer comes first each time, so that offers go round. */
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
    const lines = this.options.listQueueLengths().filter(({ line }) => this.canServe(peer, line));
    this.reportedCounts.set(
      peer,
      new Map(lines.map(({ line, count }) => [formatQueueKey(line), count])),
    );
    peer.link.notify(NoticeMethod.Backlog, {
      full: true,
      sequence: this.nextSequence(),
      lines: lines.map(({ line, count }) => toBacklogLine(line, count)),
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

/** Whether something begins or ceases to wait, or has changed by the factor. */
function isReportable(lastReported: number, count: number): boolean {
  if (lastReported === count) return false;
  if (lastReported === 0 || count === 0) return true;
  return count >= lastReported * REPORT_FACTOR || count * REPORT_FACTOR <= lastReported;
}

function setCount(counts: ReportedCounts, key: string, count: number): void {
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}

function toBacklogLine({ pool, workspace, pin }: QueueKey, count: number): BacklogLine {
  return { pool, workspace, pinned: pin !== undefined, count };
}
