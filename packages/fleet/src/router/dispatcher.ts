/**
 * The dispatcher of a router: it holds the queues, grants each request to one sidecar at a time and
 * passes the answer to the caller's connection. A sidecar whose link is lost is waited for: if the
 * same incarnation returns, its requests go on where they were.
 */
import {
  AttemptLoss,
  classifyMissing,
  endLife,
  joinVerdict,
  LossAction,
  RequestQueues,
  settleAttempt,
  verdictOfUnfinished,
  findStop,
  NO_STOP_MARKS,
} from '@poplarpick/decisions';
import type { FleetConfiguration, LineCount, StopMarks } from '@poplarpick/decisions';
import {
  ErrorCode,
  Metric,
  RequestError,
  Task,
  Verdict,
  RepairKind,
  tellRepair,
} from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { DEADLINE_HEADER } from '../callers/request-headers.ts';
import { BacklogAnnouncer } from './backlog-announcer.ts';
import { NoticeMethod } from '../messages.ts';
import type {
  AttemptReference,
  Claim,
  ClaimAnswer,
  End,
  Frame,
  Refusal,
  ResumeAnswer,
} from '../messages.ts';
import { QueueAdmission } from './queue-admission.ts';
import { EndCheck, RoutedRequest } from './routed-request.ts';
import type { Submission } from './routed-request.ts';

/** Time for which a lost sidecar may come back before its requests are settled without it. */
export const SIDECAR_GRACE_MS = 8_000;

/** Period of the look at deadlines and lost sidecars. */
const TICK_MS = 50;

/** Kinds of messages to the dispatcher. */
export enum DispatcherMessageKind {
  Configure,
  PlannedStops,
  Submit,
  Abandon,
  Resume,
  Lose,
  Claim,
  Frames,
  End,
  Refuse,
  Tick,
  AnnounceBacklog,
}

/** Messages to the dispatcher. */
export type DispatcherMessage =
  | { kind: DispatcherMessageKind.Configure; configuration: FleetConfiguration }
  | { kind: DispatcherMessageKind.PlannedStops; marks: StopMarks }
  | { kind: DispatcherMessageKind.Submit; submission: Submission }
  | { kind: DispatcherMessageKind.Abandon; request: string }
  | {
      kind: DispatcherMessageKind.Resume;
      peer: Peer;
      held: AttemptReference[];
      answer: (answer: ResumeAnswer) => void;
    }
  | { kind: DispatcherMessageKind.Lose; peer: Peer }
  | {
      kind: DispatcherMessageKind.Claim;
      peer: Peer;
      claim: Claim;
      answer: (answer: ClaimAnswer) => void;
    }
  | { kind: DispatcherMessageKind.Frames; peer: Peer; frames: Frame[] }
  | { kind: DispatcherMessageKind.End; peer: Peer; end: End }
  | { kind: DispatcherMessageKind.Refuse; peer: Peer; refusal: Refusal }
  | { kind: DispatcherMessageKind.Tick }
  | { kind: DispatcherMessageKind.AnnounceBacklog };

/** Options of a `Dispatcher`. */
export interface DispatcherOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

/** Counts of requests since the start. */
export interface RequestCounts {
  submitted: number;
  finished: number;
  failed: number;
}

interface LostSidecar {
  incarnation: string;
  lostAt: number;
}

/** Holds the queues of a router. */
export class Dispatcher extends Task<DispatcherMessage> {
  private readonly clock: Clock;
  private readonly metrics: Metrics;
  private readonly queues = new RequestQueues<RoutedRequest>();
  private readonly requests = new Map<string, RoutedRequest>();
  private readonly sidecars = new Map<string, Peer>();
  private readonly lost = new Map<string, LostSidecar>();
  private readonly backlog: BacklogAnnouncer;
  private readonly counts: RequestCounts = { submitted: 0, finished: 0, failed: 0 };
  private readonly ticker: Timer;
  private stops = NO_STOP_MARKS;
  private readonly queueAdmission = new QueueAdmission();
  private onIdle: (() => void) | undefined;

  constructor(options: DispatcherOptions) {
    super('dispatcher', options.log);
    this.clock = options.clock;
    this.metrics = options.metrics;
    this.backlog = new BacklogAnnouncer({
      clock: this.clock,
      countLine: (line) => this.queues.countLine(line),
      countAll: () => this.queues.counts(),
      onDue: () => this.post({ kind: DispatcherMessageKind.AnnounceBacklog }),
    });
    this.ticker = this.clock.every(TICK_MS, () => this.post({ kind: DispatcherMessageKind.Tick }));
  }

  /** What the dispatcher tells operators. */
  readStatus(): { counts: RequestCounts; open: number; backlog: LineCount[] } {
    return { counts: { ...this.counts }, open: this.requests.size, backlog: this.queues.counts() };
  }

  /** Resolves when no request is open. */
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
        this.stops = message.marks;
        // A marked sidecar was answered as if nothing waited, and may be marked no more.
        this.backlog.announceAll();
        return;
      case DispatcherMessageKind.Submit:
        this.submit(message.submission);
        return;
      case DispatcherMessageKind.Abandon:
        this.abandon(message.request);
        return;
      case DispatcherMessageKind.Resume:
        message.answer(this.resume(message.peer, message.held));
        return;
      case DispatcherMessageKind.Lose:
        this.lose(message.peer);
        return;
      case DispatcherMessageKind.Claim:
        message.answer(this.claim(message.peer, message.claim));
        return;
      case DispatcherMessageKind.Frames:
        for (const frame of message.frames) this.acceptFrame(message.peer, frame);
        return;
      case DispatcherMessageKind.End:
        this.acceptEnd(message.peer, message.end);
        return;
      case DispatcherMessageKind.Refuse:
        this.acceptRefusal(message.peer, message.refusal);
        return;
      case DispatcherMessageKind.Tick:
        this.tick();
        return;
      case DispatcherMessageKind.AnnounceBacklog:
        this.backlog.announce();
    }
  }

  private submit(submission: Submission): void {
    const request = new RoutedRequest(submission, this.clock.monotonic());
    this.counts.submitted += 1;
    const { workspace } = request.line;
    const now = this.clock.monotonic();
    const waiting = this.queues.countWorkspace(workspace);
    const { deadlineMs } = submission;
    const refusal = this.queueAdmission.refuse({ workspace, waiting, deadlineMs, now });
    if (refusal !== undefined) {
      this.fail(request, refusal);
      return;
    }
    this.requests.set(request.id, request);
    this.queues.push(request);
    this.queueAdmission.noteQueued(workspace, now);
    this.backlog.noteChange(request.line);
  }

  private abandon(id: string): void {
    const request = this.requests.get(id);
    if (request === undefined) return;
    this.release(request);
    this.counts.failed += 1;
    this.end(request);
    this.log.info({ event: 'request.abandoned', request: id });
  }

  /** Takes a request from its queue, or tells the sidecar that runs it to stop. */
  private release(request: RoutedRequest): void {
    if (this.queues.remove(request)) {
      this.backlog.noteChange(request.line);
      return;
    }
    const { id, attempt, holder } = request;
    if (holder === undefined) return;
    this.sidecars.get(holder.host)?.link.notify(NoticeMethod.Cancel, { request: id, attempt });
  }

  private resume(peer: Peer, held: readonly AttemptReference[]): ResumeAnswer {
    const answer: ResumeAnswer = { resume: [], drop: [] };
    const kept = new Set<string>();
    this.lost.delete(peer.host);
    this.sidecars.set(peer.host, peer);
    for (const reference of held) {
      const request = this.findAttempt(peer, reference);
      if (request === undefined) {
        answer.drop.push(reference);
        continue;
      }
      kept.add(request.id);
      answer.resume.push({ ...reference, from: request.frames });
    }
    this.settleMissing(peer, kept);
    this.backlog.join(peer);
    return answer;
  }

  /** Settles the requests of a sidecar that came back without them. */
  private settleMissing(peer: Peer, kept: ReadonlySet<string>): void {
    for (const request of this.heldBy(peer.host)) {
      if (kept.has(request.id)) continue;
      const now = this.clock.monotonic();
      const grantAgeMs = now - request.grantedAt;
      const missing = { sender: peer, grantAgeMs, expired: now >= request.deadlineAt };
      this.settleLoss(request, classifyMissing(request.life, missing));
    }
  }

  private lose(peer: Peer): void {
    if (this.sidecars.get(peer.host) !== peer) return;
    this.sidecars.delete(peer.host);
    this.backlog.lose(peer);
    this.lost.set(peer.host, { incarnation: peer.incarnation, lostAt: this.clock.monotonic() });
  }

  private claim(peer: Peer, claim: Claim): ClaimAnswer {
    if (this.sidecars.get(peer.host) !== peer) return {};
    // The sidecar refuses by itself, but may not have heard of its mark yet.
    if (findStop(this.stops, peer) !== undefined) return {};
    const request = this.takeFirst(peer, claim);
    if (request === undefined) return {};
    this.backlog.noteChange(request.line);
    const now = this.clock.monotonic();
    request.grantTo({ host: peer.host, incarnation: peer.incarnation }, now);
    this.metrics.timing(Metric.QueueMs, now - request.arrivedAt);
    this.log.debug({
      event: 'request.granted',
      request: request.id,
      sidecar: peer.host,
      attempt: request.attempt,
      waited_ms: Math.round(now - request.arrivedAt),
    });
    const deadlineMs = Math.max(0, request.deadlineAt - now);
    const { id, attempt, job, line } = request;
    const left = this.queues.countLine(line);
    const { workspace } = line;
    this.queueAdmission.noteGranted(workspace, this.queues.countWorkspace(workspace), now);
    this.backlog.noteTold(peer, line, left);
    const pinned = line.pin !== undefined;
    return { grant: { request: id, attempt, deadlineMs, pinned, job }, left };
  }

  /** The oldest request of the first line that has one; the sidecar learns that those before are empty. */
  private takeFirst(peer: Peer, claim: Claim): RoutedRequest | undefined {
    for (const { pool, workspace, pinned } of claim.lines) {
      const line = { pool, workspace, pin: pinned ? peer.endpoint : undefined };
      const request = this.queues.shift(line);
      if (request !== undefined) return request;
      this.backlog.noteTold(peer, line, 0);
    }
    return undefined;
  }

  private acceptFrame(peer: Peer, frame: Frame): void {
    const request = this.findAttempt(peer, frame);
    if (request?.accept(frame) !== true) return;
    if (request.frames === 1)
      this.metrics.timing(Metric.FirstTokenMs, this.clock.monotonic() - request.arrivedAt);
    request.sink.deliver(asBuffer(frame.data));
  }

  private acceptEnd(peer: Peer, end: End): void {
    peer.link.notify(NoticeMethod.Settle, { request: end.request, attempt: end.attempt });
    const request = this.findAttempt(peer, end);
    if (request === undefined) return;
    if (end.failure !== undefined) {
      const { message, ...failure } = end.failure;
      const verdict = joinVerdict(request.life, failure.verdict);
      this.fail(request, new RequestError(message, { ...failure, verdict }));
      return;
    }
    if (request.check(end) === EndCheck.Damaged) {
      this.fail(
        request,
        new RequestError('the answer is incomplete', {
          code: ErrorCode.Incomplete,
          verdict: Verdict.Ran,
        }),
      );
      return;
    }
    this.counts.finished += 1;
    this.metrics.increment(Metric.Requests, 1, { workspace: request.line.workspace });
    this.log.info({
      event: 'request.finished',
      request: request.id,
      workspace: request.line.workspace,
      pool: request.line.pool,
      sidecar: peer.host,
      attempt: request.attempt,
      ms: Math.round(this.clock.monotonic() - request.arrivedAt),
      cost: end.cost,
    });
    request.sink.finish(end);
    this.end(request);
  }

  private acceptRefusal(peer: Peer, refusal: Refusal): void {
    const request = this.findAttempt(peer, refusal);
    if (request === undefined) return;
    if (refusal.elsewhere && refusal.verdict === Verdict.NotRun) {
      this.settleLoss(request, AttemptLoss.NeverStarted);
      return;
    }
    const { code, message, retryAfterSeconds } = refusal;
    const verdict = joinVerdict(request.life, refusal.verdict);
    this.fail(request, new RequestError(message, { code, verdict, retryAfterSeconds }));
  }

  private settleLoss(request: RoutedRequest, loss: AttemptLoss): void {
    const { life, decision } = settleAttempt(request.life, loss);
    request.life = life;
    if (decision.action === LossAction.Fail) {
      const { code, verdict } = decision;
      this.fail(
        request,
        new RequestError('the connection to the endpoint was lost', { code, verdict }),
      );
      return;
    }
    this.log.info({
      event: 'request.requeued',
      request: request.id,
      attempt: request.attempt,
      loss,
    });
    tellRepair(
      { log: this.log, metrics: this.metrics },
      { kind: RepairKind.RequestRequeued, cause: loss, subject: request.id },
    );
    this.queues.putBack(request);
    this.backlog.noteChange(request.line);
  }

  private tick(): void {
    const now = this.clock.monotonic();
    for (const request of this.requests.values()) {
      if (now >= request.deadlineAt) this.expire(request);
    }
    for (const [host, { lostAt }] of this.lost) {
      if (now - lostAt < SIDECAR_GRACE_MS) continue;
      this.lost.delete(host);
      for (const request of this.heldBy(host)) this.settleLoss(request, AttemptLoss.SidecarGone);
    }
  }

  private expire(request: RoutedRequest): void {
    const verdict = verdictOfUnfinished(request.life);
    this.release(request);
    this.fail(
      request,
      new RequestError('the deadline has passed', {
        code: ErrorCode.DeadlineExceeded,
        verdict,
        limit: DEADLINE_HEADER,
      }),
    );
  }

  private fail(request: RoutedRequest, error: RequestError): void {
    this.counts.failed += 1;
    this.metrics.increment(Metric.RequestsFailed, 1, { code: error.code, verdict: error.verdict });
    this.log.info({
      event: 'request.failed',
      request: request.id,
      workspace: request.line.workspace,
      code: error.code,
      verdict: error.verdict,
    });
    request.sink.fail(error);
    this.end(request);
  }

  private end(request: RoutedRequest): void {
    request.life = endLife(request.life);
    this.requests.delete(request.id);
    if (this.requests.size > 0) return;
    this.onIdle?.();
    this.onIdle = undefined;
  }

  private heldBy(host: string): RoutedRequest[] {
    return [...this.requests.values()].filter((request) => request.holder?.host === host);
  }

  /** The request if `reference` names its current attempt and `peer` holds it. */
  private findAttempt(peer: Peer, reference: AttemptReference): RoutedRequest | undefined {
    const request = this.requests.get(reference.request);
    return request?.isHeldBy(peer, reference.attempt) === true ? request : undefined;
  }
}

function asBuffer(data: Uint8Array): Buffer {
  return Buffer.isBuffer(data) ? data : Buffer.from(data.buffer, data.byteOffset, data.byteLength);
}
