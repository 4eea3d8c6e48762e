/**
 * Dispatcher of a router. Owns the request queues, grants each request to one sidecar at a time and
 * forwards the answer to the caller. If the link to a sidecar is lost, its requests stay granted for
 * a grace period; they resume where they stopped if the same incarnation reconnects.
 */
import {
  AttemptLoss,
  classifyMissingAttempt,
  endRequest,
  combineVerdicts,
  RequestPhase,
  RequestQueues,
  findStopSource,
  NO_STOP_MARKS,
} from '@poplarpick/decisions';
import type { QueueLength } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Task, Verdict } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { frameBytes } from './answer-sink.ts';
import { BacklogAnnouncer } from './backlog-announcer.ts';
import { NotificationMethod } from '../messages.ts';
import type {
  Claim,
  ClaimResult,
  AnswerEnd,
  AnswerFrame,
  GrantRefusal,
  ResumeRequest,
  ResumeResult,
} from '../messages.ts';
import { QueueAdmission } from './queue-admission.ts';
import { DispatcherMessageKind } from './dispatcher-messages.ts';
import type { DispatcherMessage } from './dispatcher-messages.ts';
import { LostAttempts } from './lost-attempts.ts';
import { OpenRequests } from './open-requests.ts';
import type { RequestCounts } from './open-requests.ts';
import { PinnedEndpointMonitor } from './pinned-endpoint-monitor.ts';
import {
  createIncompleteAnswerError,
  createUndeliverableAnswerError,
  createDeadlineError,
  createPinnedEndpointError,
} from './dispatch-errors.ts';
import { RequestTelemetry } from './request-telemetry.ts';
import { AnswerIntegrity, RoutedRequest } from './routed-request.ts';
import type { Submission } from './routed-request.ts';
import { SidecarRegistry } from './sidecar-registry.ts';

/** Interval at which deadlines, pinned endpoints and lost sidecars are checked. */
const TICK_INTERVAL_MS = 50;

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

/** Queues requests, grants them to sidecars and decides how lost attempts are handled. */
export class Dispatcher extends Task<DispatcherMessage> {
  private readonly clock: Clock;
  private readonly telemetry: RequestTelemetry;
  private readonly queues = new RequestQueues<RoutedRequest>();
  private readonly requests = new OpenRequests();
  private readonly sidecars = new SidecarRegistry();
  private readonly backlog: BacklogAnnouncer;
  private readonly counts: RequestCounts = { submitted: 0, finished: 0, failed: 0 };
  private readonly lostAttempts: LostAttempts;
  private readonly pinnedEndpoints = new PinnedEndpointMonitor();
  private readonly ticker: Timer;
  private stopMarks = NO_STOP_MARKS;
  private readonly queueAdmission = new QueueAdmission();
  private onIdle: (() => void) | undefined;

  constructor(options: DispatcherOptions) {
    super('dispatcher', options.log);
    this.clock = options.clock;
    this.telemetry = new RequestTelemetry(options);
    this.lostAttempts = new LostAttempts({
      clock: this.clock,
      telemetry: this.telemetry,
      onRetryDue: (request) => this.post({ kind: DispatcherMessageKind.Retry, request }),
    });
    this.backlog = new BacklogAnnouncer({
      clock: this.clock,
      getQueueLength: (queueKey) => this.queues.getQueueLength(queueKey),
      listQueueLengths: () => this.queues.listQueueLengths(),
      onDue: () => this.post({ kind: DispatcherMessageKind.AnnounceBacklog }),
    });
    this.ticker = this.clock.every(TICK_INTERVAL_MS, () =>
      this.post({ kind: DispatcherMessageKind.Tick }),
    );
  }

  /** Returns the `requests` section of the process status. */
  readStatus(): { counts: RequestCounts; open: number; backlog: QueueLength[] } {
    return {
      counts: { ...this.counts },
      open: this.requests.size,
      backlog: this.queues.listQueueLengths(),
    };
  }

  /** Resolves once no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.requests.size === 0) return;
    await new Promise<void>((resolve) => (this.onIdle = resolve));
  }

  override stop(): void {
    super.stop();
    this.ticker.stop();
    this.backlog.stop();
  }

  protected override handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case DispatcherMessageKind.Configure:
        this.queueAdmission.configure(message.configuration);
        this.backlog.configure(message.configuration);
        return;
      case DispatcherMessageKind.PlannedStops:
        this.stopMarks = message.marks;
        // Claims of a marked sidecar were answered as if the queues were empty. A sidecar whose mark
        // was removed needs the actual counts.
        this.backlog.sendFullBacklogToAll();
        return;
      case DispatcherMessageKind.Submit:
        this.submit(message.submission);
        return;
      case DispatcherMessageKind.Abandon:
        this.abandon(message.request);
        return;
      case DispatcherMessageKind.Resume:
        message.answer(this.resume(message.peer, message.resume));
        return;
      case DispatcherMessageKind.LinkLost:
        this.handleLinkLoss(message.peer);
        return;
      case DispatcherMessageKind.Claim:
        message.answer(this.claim(message.peer, message.claim));
        return;
      case DispatcherMessageKind.Frames:
        for (const frame of message.frames) this.handleFrame(message.peer, frame);
        return;
      case DispatcherMessageKind.End:
        this.handleEnd(message.peer, message.end);
        return;
      case DispatcherMessageKind.Refuse:
        this.handleRefusal(message.peer, message.refusal);
        return;
      case DispatcherMessageKind.Tick:
        this.tick();
        return;
      case DispatcherMessageKind.Retry:
        this.requeueForRetry(message.request);
        return;
      case DispatcherMessageKind.AnnounceBacklog:
        this.backlog.announce();
    }
  }

  private submit(submission: Submission): void {
    const request = new RoutedRequest(submission, this.clock.monotonic());
    this.counts.submitted += 1;
    this.lostAttempts.recordRequest();
    const { workspace } = request.queueKey;
    const now = this.clock.monotonic();
    const queuedRequests = this.queues.countByWorkspace(workspace);
    const { deadlineMs } = submission;
    const rejection = this.queueAdmission.check({ workspace, queuedRequests, deadlineMs, now });
    if (rejection !== undefined) {
      this.fail(request, rejection);
      return;
    }
    this.requests.add(request);
    this.queues.push(request);
    this.queueAdmission.recordQueued(workspace, now);
    this.backlog.recordChange(request.queueKey);
  }

  private abandon(id: string): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    this.withdraw(request);
    this.counts.failed += 1;
    this.end(request);
    this.telemetry.recordAbandon(request);
  }

  /** Removes a request from its queue, or cancels it at the sidecar to which it is granted. */
  private withdraw(request: RoutedRequest): void {
    if (this.queues.remove(request)) {
      this.backlog.recordChange(request.queueKey);
      return;
    }
    const { id, attempt, sidecar } = request;
    if (sidecar === undefined) return;
    this.sidecars.sendCancel(sidecar.host, { request: id, attempt });
  }

  private resume(peer: Peer, { sequence, held }: ResumeRequest): ResumeResult {
    const answer: ResumeResult = { resume: [], drop: [] };
    if (!this.sidecars.register(peer, sequence)) {
      peer.link.close('overtaken by a later link');
      return answer;
    }
    const resumedIds = new Set<string>();
    for (const reference of held) {
      const request = this.requests.findAttempt(peer, reference);
      if (request === undefined) {
        answer.drop.push(reference);
        continue;
      }
      resumedIds.add(request.id);
      answer.resume.push({ ...reference, from: request.receivedFrames });
    }
    this.handleMissingAttempts(peer, resumedIds);
    this.backlog.addPeer(peer);
    return answer;
  }

  /** Handles attempts that are missing from a reconnected sidecar's resumption as lost. */
  private handleMissingAttempts(peer: Peer, resumedIds: ReadonlySet<string>): void {
    for (const request of this.requests.listBySidecar(peer.host)) {
      if (resumedIds.has(request.id)) continue;
      const now = this.clock.monotonic();
      const grantAgeMs = now - request.grantedAt;
      const missing = { sender: peer, grantAgeMs, expired: now >= request.deadlineAt };
      this.handleLostAttempt(request, classifyMissingAttempt(request.state, missing));
    }
  }

  private handleLinkLoss(peer: Peer): void {
    if (this.sidecars.markLost(peer, this.clock.monotonic())) this.backlog.removePeer(peer);
  }

  private claim(peer: Peer, claim: Claim): ClaimResult {
    if (!this.sidecars.isCurrent(peer)) return {};
    // A marked sidecar stops claiming by itself, but it may not know of its mark yet.
    if (findStopSource(this.stopMarks, peer) !== undefined) return {};
    const request = this.dequeueForClaim(peer, claim);
    if (request === undefined) return { sequence: this.backlog.nextSequence() };
    this.backlog.recordChange(request.queueKey);
    const now = this.clock.monotonic();
    request.grantTo({ host: peer.host, incarnation: peer.incarnation }, now);
    this.telemetry.recordGrant(request, peer.host, now);
    const deadlineMs = Math.max(0, request.deadlineAt - now);
    const { id, attempt, job, queueKey } = request;
    const left = this.queues.getQueueLength(queueKey);
    const { workspace } = queueKey;
    this.queueAdmission.recordGranted(workspace, this.queues.countByWorkspace(workspace), now);
    this.backlog.recordReported(peer, queueKey, left);
    const pinned = queueKey.pin !== undefined;
    const sequence = this.backlog.nextSequence();
    return { grant: { request: id, attempt, deadlineMs, pinned, job }, left, sequence };
  }

  /**
   * Removes and returns the oldest request of the first non-empty queue that the claim lists. Records
   * the empty queues before it as reported, since the sidecar infers their length from the answer.
   */
  private dequeueForClaim(peer: Peer, claim: Claim): RoutedRequest | undefined {
    for (const { pool, workspace, pinned } of claim.lines) {
      const queueKey = { pool, workspace, pin: pinned ? peer.endpoint : undefined };
      const request = this.queues.shift(queueKey);
      if (request !== undefined) return request;
      this.backlog.recordReported(peer, queueKey, 0);
    }
    return undefined;
  }

  private handleFrame(peer: Peer, frame: AnswerFrame): void {
    const request = this.requests.findAttempt(peer, frame);
    if (request?.acceptFrame(frame) !== true) return;
    if (request.receivedFrames === 1)
      this.telemetry.recordFirstToken(request, this.clock.monotonic());
    this.deliver(request, frame);
  }

  /** Forwards a frame to the caller. A frame that the sink rejects fails only its own request. */
  private deliver(request: RoutedRequest, frame: AnswerFrame): void {
    try {
      request.sink.deliver(frameBytes(frame));
    } catch (error) {
      this.withdraw(request);
      this.fail(request, createUndeliverableAnswerError(error));
    }
  }

  private handleEnd(peer: Peer, end: AnswerEnd): void {
    peer.link.notify(NotificationMethod.Settle, { request: end.request, attempt: end.attempt });
    const request = this.requests.findAttempt(peer, end);
    if (request === undefined) return;
    if (end.failure !== undefined) {
      const { message, ...failure } = end.failure;
      if (
        failure.code === ErrorCode.EndpointFailed &&
        this.lostAttempts.tryScheduleRetry(request, failure.verdict)
      )
        return;
      const verdict = combineVerdicts(request.state, failure.verdict);
      this.fail(request, new RequestError(message, { ...failure, verdict }));
      return;
    }
    if (request.verifyAnswer(end) === AnswerIntegrity.Corrupt) {
      this.fail(request, createIncompleteAnswerError());
      return;
    }
    this.finish(request, peer, end);
  }

  private finish(request: RoutedRequest, peer: Peer, end: AnswerEnd): void {
    this.counts.finished += 1;
    this.telemetry.recordFinish(request, peer.host, end, this.clock.monotonic());
    request.sink.finish(end);
    this.end(request);
  }

  private handleRefusal(peer: Peer, refusal: GrantRefusal): void {
    const request = this.requests.findAttempt(peer, refusal);
    if (request === undefined) return;
    if (refusal.elsewhere && refusal.verdict === Verdict.NotRun) {
      this.handleLostAttempt(request, AttemptLoss.NeverStarted);
      return;
    }
    const { code, message, retryAfterSeconds } = refusal;
    const verdict = combineVerdicts(request.state, refusal.verdict);
    this.fail(request, new RequestError(message, { code, verdict, retryAfterSeconds }));
  }

  private requeueForRetry(request: RoutedRequest): void {
    if (request.state.phase !== RequestPhase.Queued) return;
    this.queues.push(request);
    this.backlog.recordChange(request.queueKey);
  }

  private handleLostAttempt(request: RoutedRequest, loss: AttemptLoss): void {
    const failure = this.lostAttempts.settle(request, loss);
    if (failure !== undefined) {
      this.fail(request, failure);
      return;
    }
    this.queues.pushFront(request);
    this.backlog.recordChange(request.queueKey);
  }

  /**
   * Fails queued requests whose pinned endpoint has been unavailable for the whole grace period, since
   * no other endpoint may run them.
   */
  private failUnavailablePinned(now: number): void {
    const linked = this.sidecars.listLinkedEndpoints();
    this.pinnedEndpoints.recordLinked(linked);
    for (const request of this.requests.values()) {
      const { pin } = request.queueKey;
      if (pin === undefined || linked.has(pin) || !this.pinnedEndpoints.isUnavailable(pin, now))
        continue;
      if (request.state.phase !== RequestPhase.Queued) continue;
      this.withdraw(request);
      this.fail(request, createPinnedEndpointError(request.state, pin));
    }
  }

  private tick(): void {
    const now = this.clock.monotonic();
    for (const request of this.requests.values()) {
      if (now < request.deadlineAt) continue;
      const failure = createDeadlineError(request.state);
      this.withdraw(request);
      this.fail(request, failure);
    }
    this.failUnavailablePinned(now);
    for (const host of this.sidecars.takeExpired(now)) {
      for (const request of this.requests.listBySidecar(host))
        this.handleLostAttempt(request, AttemptLoss.SidecarGone);
    }
  }

  private fail(request: RoutedRequest, error: RequestError): void {
    this.counts.failed += 1;
    this.telemetry.recordFailure(request, error);
    request.sink.fail(error);
    this.end(request);
  }

  private end(request: RoutedRequest): void {
    request.state = endRequest(request.state);
    this.requests.delete(request);
    if (this.requests.size > 0) return;
    this.onIdle?.();
    this.onIdle = undefined;
  }
}
