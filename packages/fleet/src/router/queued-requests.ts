/** The queues of a router: who may enter them, and the announcement of their lengths to the sidecars. */
import { RequestQueues } from '@poplarpick/decisions';
import type { FleetConfiguration, QueueLength } from '@poplarpick/decisions';
import type { Clock, RequestError } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import type { Claim } from '../messages.ts';
import { BacklogAnnouncer } from './backlog-announcer.ts';
import { QueueAdmission } from './queue-admission.ts';
import type { RoutedRequest } from './routed-request.ts';

/** Options of a `QueuedRequests`. */
export interface QueuedRequestsOptions {
  clock: Clock;
  /** Called when changed lengths are to be announced. */
  onAnnouncementDue: () => void;
}

/** A request that a claim has taken from its queue. */
export interface TakenRequest {
  request: RoutedRequest;
  /** Number of requests that are left in its queue. */
  left: number;
}

/** Queues requests and records each change of a queue for the sidecars. */
export class QueuedRequests {
  /** Announces the lengths of the queues. */
  readonly backlog: BacklogAnnouncer;
  private readonly queues = new RequestQueues<RoutedRequest>();
  private readonly admission = new QueueAdmission();

  constructor({ clock, onAnnouncementDue }: QueuedRequestsOptions) {
    this.backlog = new BacklogAnnouncer({
      clock,
      getQueueLength: (queueKey) => this.queues.getQueueLength(queueKey),
      listQueueLengths: () => this.queues.listQueueLengths(),
      onDue: onAnnouncementDue,
    });
  }

  configure(configuration: FleetConfiguration): void {
    this.admission.configure(configuration);
    this.backlog.configure(configuration);
  }

  listLengths(): QueueLength[] {
    return this.queues.listQueueLengths();
  }

  /** Queues a new request, or returns the error with which to reject it. */
  enter(request: RoutedRequest, deadlineMs: number, now: number): RequestError | undefined {
    const { workspace } = request.queueKey;
    const queuedRequests = this.queues.countByWorkspace(workspace);
    const rejection = this.admission.check({ workspace, queuedRequests, deadlineMs, now });
    if (rejection !== undefined) return rejection;
    this.push(request);
    this.admission.recordQueued(workspace, now);
    return undefined;
  }

  /** Queues a request behind the others of its queue. */
  push(request: RoutedRequest): void {
    this.queues.push(request);
    this.backlog.recordChange(request.queueKey);
  }

  /** Queues a request before the others of its queue. */
  pushFront(request: RoutedRequest): void {
    this.queues.pushFront(request);
    this.backlog.recordChange(request.queueKey);
  }

  /** Removes a request; false if it isn't queued. */
  remove(request: RoutedRequest): boolean {
    if (!this.queues.remove(request)) return false;
    this.backlog.recordChange(request.queueKey);
    return true;
  }

  /** Removes and returns the request that a claim gets, if there is one. */
  take(peer: Peer, claim: Claim, now: number): TakenRequest | undefined {
    const request = this.shift(peer, claim);
    if (request === undefined) return undefined;
    const { queueKey } = request;
    const { workspace } = queueKey;
    this.backlog.recordChange(queueKey);
    const left = this.queues.getQueueLength(queueKey);
    this.admission.recordGranted(workspace, this.queues.countByWorkspace(workspace), now);
    this.backlog.recordReported(peer, queueKey, left);
    return { request, left };
  }

  /**
   * Removes and returns the oldest request of the first non-empty queue that the claim lists. Records
   * the empty queues before it as reported, since the sidecar infers their length from the answer.
   */
  private shift(peer: Peer, claim: Claim): RoutedRequest | undefined {
    for (const { pool, workspace, pinned } of claim.lines) {
      const queueKey = { pool, workspace, pin: pinned ? peer.endpoint : undefined };
      const request = this.queues.shift(queueKey);
      if (request !== undefined) return request;
      this.backlog.recordReported(peer, queueKey, 0);
    }
    return undefined;
  }
}
