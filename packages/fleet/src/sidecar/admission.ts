/**
 * Admission to one endpoint. A free slot claims a request of the workspace that has received the
 * least service for its weight across the fleet; what is granted runs at once. Answers are kept until
 * their router has settled them, so that a lost link costs nothing.
 */
import { EXECUTION_RETENTION_MS } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Metric, Task, Verdict } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, RequestError, Timer } from '@poplarpick/kernel';
import type { Peer } from '../link/link-hub.ts';
import { CallMethod, NotificationMethod } from '../messages.ts';
import type { AttemptReference, Grant, ResumeResult } from '../messages.ts';
import { AdmissionMessageKind } from './admission-messages.ts';
import type { AdmissionMessage, AdmissionStatus } from './admission-messages.ts';
import { Claimer, describeClaim } from './claimer.ts';
import type { AnsweredClaim } from './claimer.ts';
import type { EndpointClient } from './endpoint-client.ts';
import { Execution } from './execution.ts';
import { Executions } from './executions.ts';
import { KeyedRequests } from './keyed-requests.ts';
import { PowerGate } from './power-gate.ts';
import { answerTooLarge, findObstacle } from './refusals.ts';
import type { RefusalReason } from './refusals.ts';
import { RouterLinks } from './router-links.ts';
import type { ServiceMeter } from './service-meter.ts';
import { SuspendedRuns } from './suspended-runs.ts';

/** Time after which a repeatable run is cancelled if its router stays away. */
const ORPHAN_MS = 20_000;

/** Largest answer of an endpoint. */
const ANSWER_LIMIT_BYTES = 16 * 1024 * 1024;

/** Period of the look at deadlines and answers to forget. */
const TICK_MS = 100;

/** Options of an `Admission`. */
export interface AdmissionOptions {
  endpoint: string;
  host: string;
  client: EndpointClient;
  meter: ServiceMeter;
  /** Whether the fleet's totals are fresh enough for a choice; `Ready` is posted when they may be. */
  prepareChoice: () => boolean;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

/** Admits requests to one endpoint. */
export class Admission extends Task<AdmissionMessage> {
  private readonly options: AdmissionOptions;
  private readonly claimer: Claimer;
  private readonly keyed: KeyedRequests;
  private readonly gate: PowerGate;
  private readonly suspended: SuspendedRuns;
  private readonly routers: RouterLinks;
  private readonly executions = new Executions();
  private readonly ticker: Timer;
  private resumptions = 0;
  private running = 0;
  /** Marked for a planned stop, which may be withdrawn. */
  private marked = false;
  /** The process has been told to end. */
  private stopping = false;
  private flushing = false;
  private onIdle: (() => void) | undefined;

  constructor(options: AdmissionOptions) {
    super('admission', options.log);
    this.options = options;
    this.keyed = new KeyedRequests(options);
    this.routers = new RouterLinks({ onWaiting: () => this.flushSoon() });
    this.gate = new PowerGate(options);
    this.suspended = new SuspendedRuns({
      onAnswer: (execution, halted) =>
        this.post({ kind: AdmissionMessageKind.Suspended, execution, halted }),
    });
    this.claimer = new Claimer({
      meter: options.meter,
      prepareChoice: options.prepareChoice,
      onAnswer: (claim) => this.post({ kind: AdmissionMessageKind.Answered, claim }),
    });
    this.ticker = options.clock.every(TICK_MS, () =>
      this.post({ kind: AdmissionMessageKind.Tick }),
    );
  }

  readStatus(): AdmissionStatus {
    const { running, isDraining: draining } = this;
    return {
      slots: this.gate.slots(),
      running,
      claiming: this.claimer.count,
      suspended: this.suspended.count,
      kept: this.executions.size,
      draining,
      power: this.gate.readStatus(),
    };
  }

  /** Whether an answer runs or waits to be settled that a router is still to receive. */
  holdsWorkOf(router: string): boolean {
    return this.executions.all().some((execution) => execution.router === router);
  }

  /** Refuses new work and resolves when nothing runs. */
  async drain(): Promise<void> {
    this.post({ kind: AdmissionMessageKind.Drain });
    if (this.running + this.suspended.count === 0) return;
    await new Promise<void>((resolve) => (this.onIdle = resolve));
  }

  override stop(): void {
    super.stop();
    this.ticker.stop();
  }

  protected override handle(message: AdmissionMessage): void {
    switch (message.kind) {
      case AdmissionMessageKind.Configure:
        this.configure(message.configuration);
        return;
      case AdmissionMessageKind.PlannedStop:
        this.mark(message.marked);
        return;
      case AdmissionMessageKind.Join:
        this.join(message.peer);
        return;
      case AdmissionMessageKind.Resumed:
        this.resume(message.peer, message.answer);
        return;
      case AdmissionMessageKind.Lose:
        this.lose(message.peer);
        return;
      case AdmissionMessageKind.Backlog:
        this.claimer.updateBacklog(message.peer, message.backlog);
        this.schedule();
        return;
      case AdmissionMessageKind.Answered:
        this.acceptAnswer(message.claim);
        return;
      case AdmissionMessageKind.Ready:
        this.schedule();
        return;
      case AdmissionMessageKind.Cancel:
        this.cancel(message.reference);
        return;
      case AdmissionMessageKind.Settle:
        this.settle(message.reference);
        return;
      case AdmissionMessageKind.Produced:
        this.produce(message.execution, message.data, message.cost);
        return;
      case AdmissionMessageKind.Finished:
        this.finish(message.execution, message.cost, message.error);
        return;
      case AdmissionMessageKind.Flush:
        this.flush();
        return;
      case AdmissionMessageKind.Tick:
        this.tick();
        return;
      case AdmissionMessageKind.Drain:
        this.stopping = true;
        return;
      case AdmissionMessageKind.Load:
        this.gate.noteLoad(message.report);
        this.schedule();
        return;
      case AdmissionMessageKind.Confirm:
        this.gate.confirm(message.revision, message.at);
        return;
      case AdmissionMessageKind.Suspended:
        this.noteSuspended(message.execution, message.halted);
    }
  }

  private get isDraining(): boolean {
    return this.marked || this.stopping;
  }

  private mark(marked: boolean): void {
    this.marked = marked;
    this.schedule();
  }

  private configure(configuration: FleetConfiguration): void {
    this.keyed.configure(configuration);
    const { endpoint } = this.options;
    const kind = configuration.endpoints.find(({ name }) => name === endpoint)?.kind;
    if (kind !== undefined) this.claimer.configure(configuration, kind);
    this.gate.configure(configuration);
    this.schedule();
  }

  private join(peer: Peer): void {
    this.cancelOrphans(peer);
    const held = this.executions.heldFor(peer);
    this.resumptions += 1;
    this.routers.join(peer);
    this.claimer.join(peer);
    peer.link
      .call(CallMethod.Resume, { sequence: this.resumptions, held })
      .then((answer) => this.post({ kind: AdmissionMessageKind.Resumed, peer, answer }))
      .catch(() => peer.link.close('resume failed'));
  }

  /** Cancels what an earlier process of a router granted: its callers' connections ended with it. */
  private cancelOrphans(peer: Peer): void {
    for (const execution of this.executions.all()) {
      if (execution.router !== peer.host || execution.routerIncarnation === peer.incarnation)
        continue;
      this.cancel({ request: execution.id, attempt: execution.grant.attempt });
    }
  }

  private resume(peer: Peer, answer: ResumeResult): void {
    if (!this.routers.isCurrent(peer)) return;
    for (const reference of answer.drop) this.cancel(reference);
    this.routers.resume(peer, answer, (reference) => this.executions.find(reference));
  }

  private lose(peer: Peer): void {
    this.claimer.lose(peer);
    this.routers.lose(peer);
  }

  /** Keeps the power budget, goes on with suspended runs, then claims requests for all free slots. */
  private schedule(): void {
    if (this.running > this.gate.powerSlots()) this.shrink();
    while (this.running < this.gate.slots() && this.suspended.resumeOne()) this.countRuns(1);
    if (!this.isDraining) this.claimer.claim(this.gate.slots() - this.running);
  }

  private shrink(): void {
    this.suspended.shrink(this.executions.running(), this.gate.powerSlots());
  }

  private noteSuspended(execution: Execution, halted: boolean): void {
    if (!this.suspended.accept(execution, halted)) return;
    this.countRuns(-1);
    this.options.log.info({ event: 'request.suspended', request: execution.id });
    this.schedule();
  }

  private countRuns(change: number): void {
    this.running += change;
    this.gate.noteRunning(this.running);
    this.options.metrics.gauge(Metric.SlotsBusy, this.running, { endpoint: this.options.endpoint });
  }

  private acceptAnswer(answered: AnsweredClaim): void {
    const grant = this.claimer.settle(answered);
    if (grant !== undefined) {
      this.options.log.debug(describeClaim(answered, grant));
      this.admit(answered.claim.peer, grant);
    }
    this.schedule();
  }

  private admit(peer: Peer, grant: Grant): void {
    const { first, refusal } = this.keyed.check(grant);
    const reason = refusal ?? (first === undefined ? this.findObstacle(grant) : undefined);
    if (reason !== undefined) {
      const { request, attempt } = grant;
      this.options.log.debug({ event: 'request.refused', request, code: reason.code });
      peer.link.notify(NotificationMethod.Refuse, { request, attempt, ...reason });
      return;
    }
    const deadlineAt = this.options.clock.monotonic() + grant.deadlineMs;
    const execution = new Execution(grant, peer.host, peer.incarnation, deadlineAt);
    if (first === undefined) this.start(execution);
    else this.follow(first, execution);
  }

  private findObstacle({ deadlineMs }: Grant): RefusalReason | undefined {
    const hasFreeSlot = this.running < this.gate.slots();
    return findObstacle({ draining: this.isDraining, hasFreeSlot, deadlineMs });
  }

  /** Gives a request the answer of the first one under its key. */
  private follow(first: Execution, execution: Execution): void {
    this.executions.set(execution.id, execution);
    this.options.log.info({ event: 'request.repeated', request: execution.id, first: first.id });
    for (const frame of first.lead(execution)) this.routers.send(execution, frame);
    if (first.end !== undefined) this.finishFollower(first, execution);
  }

  private finishFollower(first: Execution, follower: Execution): void {
    const end = follower.finishLike(first, this.options.clock.monotonic());
    this.routers.sendEnd(follower, end);
  }

  private start(execution: Execution): void {
    this.countRuns(1);
    this.keyed.begin(execution);
    this.executions.set(execution.id, execution);
    execution.charge = this.claimer.openCharge(execution.grant.job);
    this.options.log.debug({
      event: 'request.started',
      request: execution.id,
      router: execution.router,
    });
    execution.run = this.options.client.run(execution.id, execution.grant.job, {
      onFrame: (data, cost) =>
        this.post({ kind: AdmissionMessageKind.Produced, execution, data, cost }),
      onEnd: (cost) => this.post({ kind: AdmissionMessageKind.Finished, execution, cost }),
      onFailure: (error) =>
        this.post({ kind: AdmissionMessageKind.Finished, execution, cost: 0, error }),
    });
  }

  private produce(execution: Execution, data: Buffer, cost: number): void {
    if (execution.end !== undefined) return;
    execution.charge?.recordCost(cost);
    this.routers.send(execution, execution.append(data, cost));
    for (const follower of execution.followers)
      this.routers.send(follower, follower.append(data, 0));
    if (execution.size <= ANSWER_LIMIT_BYTES) return;
    this.abandon(execution);
    this.finish(execution, 0, answerTooLarge(ANSWER_LIMIT_BYTES));
  }

  private finish(execution: Execution, cost: number, error?: RequestError): void {
    if (execution.end !== undefined) return;
    const end = execution.finish(this.options.clock.monotonic(), cost, error);
    execution.charge?.recordCost(cost);
    if (error === undefined) this.learn(execution);
    // After a failed exchange the endpoint may still be at work.
    if (error?.verdict === Verdict.MayHaveRun) this.abandon(execution);
    this.routers.sendEnd(execution, end);
    this.keyed.end(execution);
    execution.followers.forEach((follower) => this.finishFollower(execution, follower));
    this.freeSlot(execution);
  }

  private learn({ grant, cost }: Execution): void {
    this.options.meter.learn(grant.job.workspace, cost, grant.job.costHint);
  }

  private freeSlot(execution: Execution): void {
    if (!this.suspended.remove(execution)) this.countRuns(-1);
    if (execution.charge !== undefined) this.options.meter.close(execution.charge);
    this.options.log.debug({ event: 'request.ended', request: execution.id, cost: execution.cost });
    this.schedule();
    if (this.running + this.suspended.count > 0) return;
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
    // What must run once is left to finish: cutting it would leave its outcome unknown.
    if (!execution.grant.job.repeatable) return;
    this.abandon(execution);
    this.executions.delete(execution.id);
    execution.finish(this.options.clock.monotonic(), 0);
    this.freeSlot(execution);
  }

  private abandon(execution: Execution): void {
    if (execution.run !== undefined) this.gate.abandon(execution.id, execution.run.cancel());
  }

  private settle(reference: AttemptReference): void {
    const execution = this.executions.find(reference);
    if (execution?.end !== undefined) this.executions.delete(execution.id);
  }

  private flushSoon(): void {
    if (this.flushing) return;
    this.flushing = true;
    setImmediate(() => this.post({ kind: AdmissionMessageKind.Flush }));
  }

  private flush(): void {
    this.flushing = false;
    this.routers.flush();
  }

  private tick(): void {
    const now = this.options.clock.monotonic();
    for (const execution of this.executions.all()) {
      if (execution.end !== undefined && now - execution.endedAt > EXECUTION_RETENTION_MS) {
        this.executions.delete(execution.id);
      } else if (execution.end === undefined && now > execution.deadlineAt + ORPHAN_MS) {
        this.cancel({ request: execution.id, attempt: execution.grant.attempt });
      }
    }
    this.schedule();
  }
}
