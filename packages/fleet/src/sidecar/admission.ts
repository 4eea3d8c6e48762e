/**
 * Admission control for one endpoint. For each free slot, the sidecar claims a request of the workspace
 * that has received the least service for its weight across the fleet, and starts it as soon as a router
 * grants it. An answer is retained until its router has settled it, so it survives the loss of a link.
 */
import { EXECUTION_RETENTION_MS } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Metric, Task, Verdict } from '@poplarpick/kernel';
import type { RequestError, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { AttemptReference, Grant, ResumeResult } from '../messages.ts';
import { AdmissionMessageKind } from './admission-messages.ts';
import type { AdmissionMessage, AdmissionStatus } from './admission-messages.ts';
import type { AdmissionOptions } from './admission-options.ts';
import { Claimer, describeClaim } from './claimer.ts';
import type { AnsweredClaim } from './claimer.ts';
import { Execution } from './execution.ts';
import { ExecutionRegistry } from './execution-registry.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { SlotLimiter } from './slot-limiter.ts';
import { createAnswerTooLargeError, findRefusalReason } from './refusals.ts';
import type { RefusalReason } from './refusals.ts';
import { AnswerSender } from './answer-sender.ts';
import { SuspendedRuns } from './suspended-runs.ts';

/** Time after the deadline at which a repeatable run is cancelled if its router has stayed away. */
const ORPHAN_RUN_TIMEOUT_MS = 20_000;

/** Largest answer that a sidecar accepts from its endpoint. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Interval at which deadlines and retention times are checked. */
const TICK_INTERVAL_MS = 100;

/** Admits requests to one endpoint. */
export class Admission extends Task<AdmissionMessage> {
  private readonly options: AdmissionOptions;
  private readonly claimer: Claimer;
  private readonly keyedRequests: KeyedRequests;
  private readonly slotLimiter: SlotLimiter;
  private readonly suspendedRuns: SuspendedRuns;
  private readonly answerSender: AnswerSender;
  private readonly executions = new ExecutionRegistry();
  private readonly tickTimer: Timer;
  private resumeSequence = 0;
  private running = 0;
  /** Whether the endpoint is marked for a planned stop. The mark can be withdrawn. */
  private isPlannedToStop = false;
  /** Whether the process is shutting down. */
  private isStopping = false;
  private isFlushScheduled = false;
  private onIdle: (() => void) | undefined;

  constructor(options: AdmissionOptions) {
    super('admission', options.log);
    this.options = options;
    this.keyedRequests = new KeyedRequests(options);
    this.answerSender = new AnswerSender({ onFramesQueued: () => this.scheduleFlush() });
    this.slotLimiter = new SlotLimiter(options);
    this.suspendedRuns = new SuspendedRuns({
      onAnswer: (execution, isSuspended) =>
        this.post({ kind: AdmissionMessageKind.SuspendAnswered, execution, isSuspended }),
    });
    this.claimer = new Claimer({
      meter: options.meter,
      ensureFreshTotals: options.ensureFreshTotals,
      onAnswer: (claim) => this.post({ kind: AdmissionMessageKind.ClaimAnswered, claim }),
    });
    this.tickTimer = options.clock.every(TICK_INTERVAL_MS, () =>
      this.post({ kind: AdmissionMessageKind.Tick }),
    );
  }

  readStatus(): AdmissionStatus {
    const { running, isDraining: draining } = this;
    return {
      slots: this.slotLimiter.slotLimit(),
      running,
      claiming: this.claimer.outstandingCount,
      suspended: this.suspendedRuns.count,
      kept: this.executions.size,
      draining,
      power: this.slotLimiter.readStatus(),
    };
  }

  /** Whether any execution granted by a router is running or not yet settled. */
  hasExecutionsOf(router: string): boolean {
    return this.executions.list().some((execution) => execution.router === router);
  }

  /** Refuses new work and resolves once no run is active or suspended. */
  async drain(): Promise<void> {
    this.post({ kind: AdmissionMessageKind.Drain });
    if (this.running + this.suspendedRuns.count === 0) return;
    await new Promise<void>((resolve) => (this.onIdle = resolve));
  }

  override stop(): void {
    super.stop();
    this.tickTimer.stop();
  }

  protected override handle(message: AdmissionMessage): void {
    switch (message.kind) {
      case AdmissionMessageKind.Configure:
        this.applyConfiguration(message.configuration);
        return;
      case AdmissionMessageKind.PlannedStop:
        this.setPlannedStop(message.isMarked);
        return;
      case AdmissionMessageKind.RouterJoined:
        this.addRouter(message.peer);
        return;
      case AdmissionMessageKind.ResumeAnswered:
        this.applyResumeAnswer(message.peer, message.answer);
        return;
      case AdmissionMessageKind.RouterLost:
        this.removeRouter(message.peer);
        return;
      case AdmissionMessageKind.BacklogChanged:
        this.claimer.updateBacklog(message.peer, message.backlog);
        this.schedule();
        return;
      case AdmissionMessageKind.ClaimAnswered:
        this.applyClaimAnswer(message.claim);
        return;
      case AdmissionMessageKind.TotalsReady:
        this.schedule();
        return;
      case AdmissionMessageKind.Cancel:
        this.cancel(message.reference);
        return;
      case AdmissionMessageKind.Settle:
        this.settle(message.reference);
        return;
      case AdmissionMessageKind.FrameProduced:
        this.appendFrame(message.execution, message.data, message.cost);
        return;
      case AdmissionMessageKind.RunFinished:
        this.finish(message.execution, message.cost, message.error);
        return;
      case AdmissionMessageKind.Flush:
        this.flush();
        return;
      case AdmissionMessageKind.Tick:
        this.tick();
        return;
      case AdmissionMessageKind.Drain:
        this.isStopping = true;
        return;
      case AdmissionMessageKind.LoadReported:
        this.slotLimiter.applyLoadReport(message.report);
        this.schedule();
        return;
      case AdmissionMessageKind.RevisionConfirmed:
        this.slotLimiter.confirmRevision(message.revision, message.confirmedAt);
        return;
      case AdmissionMessageKind.SuspendAnswered:
        this.recordSuspended(message.execution, message.isSuspended);
    }
  }

  private get isDraining(): boolean {
    return this.isPlannedToStop || this.isStopping;
  }

  private setPlannedStop(isPlannedToStop: boolean): void {
    this.isPlannedToStop = isPlannedToStop;
    this.schedule();
  }

  private applyConfiguration(configuration: FleetConfiguration): void {
    this.keyedRequests.applyConfiguration(configuration);
    const { endpoint } = this.options;
    const kind = configuration.endpoints.find(({ name }) => name === endpoint)?.kind;
    if (kind !== undefined) this.claimer.applyConfiguration(configuration, kind);
    this.slotLimiter.applyConfiguration(configuration);
    this.schedule();
  }

  private addRouter(peer: Peer): void {
    this.cancelOrphanedExecutions(peer);
    const held = this.executions.listAttemptsOf(peer);
    this.resumeSequence += 1;
    this.answerSender.addRouter(peer);
    this.claimer.addRouter(peer);
    peer.link
      .call(CallMethod.Resume, { sequence: this.resumeSequence, held })
      .then((answer) => this.post({ kind: AdmissionMessageKind.ResumeAnswered, peer, answer }))
      .catch(() => peer.link.close('resume failed'));
  }

  /** Cancels what an earlier incarnation of a router granted, since its callers' connections were lost. */
  private cancelOrphanedExecutions(peer: Peer): void {
    for (const execution of this.executions.list()) {
      if (execution.router !== peer.host || execution.routerIncarnation === peer.incarnation)
        continue;
      this.cancel({ request: execution.id, attempt: execution.grant.attempt });
    }
  }

  private applyResumeAnswer(peer: Peer, answer: ResumeResult): void {
    if (!this.answerSender.isCurrentPeer(peer)) return;
    for (const reference of answer.drop) this.cancel(reference);
    this.answerSender.resume(peer, answer, (reference) => this.executions.find(reference));
  }

  private removeRouter(peer: Peer): void {
    this.claimer.removeRouter(peer);
    this.answerSender.removeRouter(peer);
  }

  /** Enforces the power budget, resumes suspended runs, then claims requests for all free slots. */
  private schedule(): void {
    if (this.running > this.slotLimiter.powerSlotLimit()) this.suspendExcessRuns();
    while (this.running < this.slotLimiter.slotLimit() && this.suspendedRuns.resumeNext())
      this.changeRunning(1);
    if (!this.isDraining)
      this.claimer.claimForFreeSlots(this.slotLimiter.slotLimit() - this.running);
  }

  private suspendExcessRuns(): void {
    this.suspendedRuns.suspendExcess(
      this.executions.listRunning(),
      this.slotLimiter.powerSlotLimit(),
    );
  }

  private recordSuspended(execution: Execution, isSuspended: boolean): void {
    if (!this.suspendedRuns.applyAnswer(execution, isSuspended)) return;
    this.changeRunning(-1);
    this.options.log.info({ event: 'request.suspended', request: execution.id });
    this.schedule();
  }

  private changeRunning(change: number): void {
    this.running += change;
    this.slotLimiter.recordOwnRuns(this.running);
    this.options.metrics.gauge(Metric.SlotsBusy, this.running, { endpoint: this.options.endpoint });
  }

  private applyClaimAnswer(answeredClaim: AnsweredClaim): void {
    const grant = this.claimer.applyAnswer(answeredClaim);
    if (grant !== undefined) {
      this.options.log.debug(describeClaim(answeredClaim, grant));
      this.admit(answeredClaim.claim.peer, grant);
    }
    this.schedule();
  }

  private admit(peer: Peer, grant: Grant): void {
    const { leader, refusal } = this.keyedRequests.check(grant);
    const reason = refusal ?? (leader === undefined ? this.findRefusalReason(grant) : undefined);
    if (reason !== undefined) {
      const { request, attempt } = grant;
      this.options.log.debug({ event: 'request.refused', request, code: reason.code });
      peer.link.notify(NotificationMethod.Refuse, { request, attempt, ...reason });
      return;
    }
    const deadlineAt = this.options.clock.monotonic() + grant.deadlineMs;
    const execution = new Execution(grant, peer.host, peer.incarnation, deadlineAt);
    if (leader === undefined) this.start(execution);
    else this.attachFollower(leader, execution);
  }

  private findRefusalReason({ deadlineMs }: Grant): RefusalReason | undefined {
    const hasFreeSlot = this.running < this.slotLimiter.slotLimit();
    return findRefusalReason({ isDraining: this.isDraining, hasFreeSlot, deadlineMs });
  }

  /** Gives a request the answer of the execution that already has its idempotency key. */
  private attachFollower(leader: Execution, execution: Execution): void {
    this.executions.set(execution.id, execution);
    this.options.log.info({ event: 'request.repeated', request: execution.id, first: leader.id });
    for (const frame of leader.attachFollower(execution))
      this.answerSender.sendFrame(execution, frame);
    if (leader.end !== undefined) this.finishFollower(leader, execution);
  }

  private finishFollower(leader: Execution, follower: Execution): void {
    const end = follower.finishWithEndOf(leader, this.options.clock.monotonic());
    this.answerSender.sendEnd(follower, end);
  }

  private start(execution: Execution): void {
    this.changeRunning(1);
    this.keyedRequests.recordStart(execution);
    this.executions.set(execution.id, execution);
    execution.charge = this.claimer.openCharge(execution.grant.job);
    this.options.log.debug({
      event: 'request.started',
      request: execution.id,
      router: execution.router,
    });
    execution.run = this.options.client.run(execution.id, execution.grant.job, {
      onFrame: (data, cost) =>
        this.post({ kind: AdmissionMessageKind.FrameProduced, execution, data, cost }),
      onEnd: (cost) => this.post({ kind: AdmissionMessageKind.RunFinished, execution, cost }),
      onFailure: (error) =>
        this.post({ kind: AdmissionMessageKind.RunFinished, execution, cost: 0, error }),
    });
  }

  private appendFrame(execution: Execution, data: Buffer, cost: number): void {
    if (execution.end !== undefined) return;
    execution.charge?.recordCost(cost);
    this.answerSender.sendFrame(execution, execution.appendFrame(data, cost));
    for (const follower of execution.followers)
      this.answerSender.sendFrame(follower, follower.appendFrame(data, 0));
    if (execution.answerBytes <= MAX_ANSWER_BYTES) return;
    this.abandonRun(execution);
    this.finish(execution, 0, createAnswerTooLargeError(MAX_ANSWER_BYTES));
  }

  private finish(execution: Execution, cost: number, error?: RequestError): void {
    if (execution.end !== undefined) return;
    const end = execution.finish(this.options.clock.monotonic(), cost, error);
    execution.charge?.recordCost(cost);
    if (error === undefined) this.recordCost(execution);
    // The endpoint may still be executing the request after the exchange with it has failed.
    if (error?.verdict === Verdict.MayHaveRun) this.abandonRun(execution);
    this.answerSender.sendEnd(execution, end);
    this.keyedRequests.recordEnd(execution);
    execution.followers.forEach((follower) => this.finishFollower(execution, follower));
    this.freeSlot(execution);
  }

  private recordCost({ grant, cost }: Execution): void {
    this.options.meter.recordCost(grant.job.workspace, cost, grant.job.costHint);
  }

  private freeSlot(execution: Execution): void {
    if (!this.suspendedRuns.remove(execution)) this.changeRunning(-1);
    if (execution.charge !== undefined) this.options.meter.closeCharge(execution.charge);
    this.options.log.debug({ event: 'request.ended', request: execution.id, cost: execution.cost });
    this.schedule();
    if (this.running + this.suspendedRuns.count > 0) return;
    this.onIdle?.();
    this.onIdle = undefined;
  }

  private cancel(reference: AttemptReference): void {
    const execution = this.executions.find(reference);
    if (execution === undefined) return;
    if (execution.end !== undefined) {
      this.executions.delete(execution.id);
      return;
    }
    // A request that must run at most once is left to finish, since cancelling would leave its outcome
    // unknown.
    if (!execution.grant.job.repeatable) return;
    this.abandonRun(execution);
    this.executions.delete(execution.id);
    execution.finish(this.options.clock.monotonic(), 0);
    this.freeSlot(execution);
  }

  private abandonRun(execution: Execution): void {
    if (execution.run !== undefined)
      this.slotLimiter.recordAbandoned(execution.id, execution.run.cancel());
  }

  private settle(reference: AttemptReference): void {
    const execution = this.executions.find(reference);
    if (execution?.end !== undefined) this.executions.delete(execution.id);
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => this.post({ kind: AdmissionMessageKind.Flush }));
  }

  private flush(): void {
    this.isFlushScheduled = false;
    this.answerSender.flush();
  }

  private tick(): void {
    const now = this.options.clock.monotonic();
    for (const execution of this.executions.list()) {
      if (execution.end !== undefined && now - execution.endedAt > EXECUTION_RETENTION_MS) {
        this.executions.delete(execution.id);
      } else if (
        execution.end === undefined &&
        now > execution.deadlineAt + ORPHAN_RUN_TIMEOUT_MS
      ) {
        this.cancel({ request: execution.id, attempt: execution.grant.attempt });
      }
    }
    this.schedule();
  }
}
