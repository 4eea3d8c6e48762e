/**
 * State machine of one call: admits it, sends it to an endpoint, retries or resumes it at other
 * endpoints after failures, and writes the response. Stops the running attempt when the caller
 * disconnects, and sends an error when the deadline expires.
 */
import type { ServerResponse } from 'node:http';
import { decideFailureAction, DrainSource, FailureAction } from '@poplarpick/decisions';
import type { Route, StreamEvent, StreamOrigin } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { AttemptEvidence } from '../poison/attempt-evidence.ts';
import { hashRequest } from '../poison/request-hash.ts';
import { sharedSegmentHashes, sharedSegments } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';
import { AttemptHandover } from './attempt-handover.ts';
import { AttemptPlanner } from './attempt-planner.ts';
import { CallAdmission } from './call-admission.ts';
import { CallHedge } from './call-hedge.ts';
import { ResponseWriter } from './response-writer.ts';
import { AttemptHandler, CallAttempt } from './call-attempt.ts';
import { callDeadlineAt } from './call-deadline.ts';
import { CallReporter } from './call-reporter.ts';
import { CallLatencyRecorder } from './call-latency-recorder.ts';
import type { ResponseHead, CallHead } from './call-protocol.ts';
import type { CallPlacer } from './call-placer.ts';
import type { Placement } from './endpoint-evaluator.ts';
import { StreamBinding } from './stream-binding.ts';

/** Time after the deadline that an endpoint's own timeout response may take to arrive, in ms. */
const DEADLINE_GRACE_MS = 80;

/**
 * Time without bytes after which a resumable stream is resumed elsewhere if its endpoint is unhealthy,
 * in ms.
 */
const STALL_TIMEOUT_MS = 1_000;

const MIN_SERVER_ERROR_STATUS = 500;
const MIN_REDIRECT_STATUS = 300;

/** A call that has passed the checks of the ingress, and its dependencies. */
export interface CallOptions {
  state: RouterState;
  placer: CallPlacer;
  head: CallHead;
  route: Route;
  pool: string;
  /** Origin of the stream that the call resumes; undefined if it resumes none. */
  origin: StreamOrigin | undefined;
  workspace: string | undefined;
  body: Buffer | undefined;
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** Whether the caller's connection is closed after this response. */
  shouldCloseConnection: () => boolean;
  /** Whether the API key still belongs to the workspace; checked again before each retry. */
  isKeyValid: () => boolean;
  /** Whether what is left of a planned stop of this router can hold an attempt; asked before each further one. */
  fitsStop: () => boolean;
  onEnd: (call: Call) => void;
}

/** Handles one call from admission to the end of its response. */
export class Call extends AttemptHandler {
  private readonly options: CallOptions;
  private readonly writer: ResponseWriter;
  private readonly binding: StreamBinding;
  private readonly admission: CallAdmission;
  private readonly planner: AttemptPlanner;
  private readonly handover: AttemptHandover;
  private readonly hedge: CallHedge;
  private readonly evidence: AttemptEvidence;
  private readonly reporter: CallReporter;
  private readonly latencyRecorder: CallLatencyRecorder;
  private attempt: CallAttempt | undefined;
  /** The latest placement. */
  private placement: Placement | undefined;
  private deadlineTimer: Timer | undefined;
  /** Attempts that reached, or may have reached, an endpoint. */
  private sentAttempts = 0;
  /** An endpoint may have run the request. */
  private mayHaveRun = false;
  private lastEventId: number | undefined;
  private wasFramed: boolean | undefined;
  private firstEventAt: number | undefined;
  private isEnded = false;
  /** Monotonic time of the deadline, in ms. */
  private readonly deadlineAt: number;

  constructor(options: CallOptions) {
    super();
    this.options = options;
    this.writer = new ResponseWriter(options.response, options.shouldCloseConnection);
    const { head, workspace, body } = options;
    const requestHash = hashRequest({ ...head, workspace, body });
    const segmentHashes = sharedSegmentHashes(head.prompt);
    const suspectHashes = [requestHash, ...segmentHashes];
    this.binding = new StreamBinding(options);
    const { binding } = this;
    this.admission = new CallAdmission({ ...options, binding, suspectHashes });
    this.planner = new AttemptPlanner({ ...options, binding, suspectHashes });
    this.handover = new AttemptHandover({
      clock: options.state.clock,
      onReplaced: (earlier) => this.recordReplaced(earlier),
    });
    this.hedge = new CallHedge({
      ...options,
      planner: this.planner,
      onSlow: () => this.sendHedge(),
    });
    this.evidence = new AttemptEvidence({ state: options.state, suspectHashes });
    this.reporter = new CallReporter({ ...options, segmentHashes, requestHash });
    const outputTokens = head.prompt?.outputTokens;
    this.latencyRecorder = new CallLatencyRecorder({ ...options, outputTokens });
    this.deadlineAt = callDeadlineAt(head, options.route, options.arrivedAt);
  }

  /** Selects an endpoint and sends the call there, or refuses the call. */
  start(): void {
    const { response, state } = this.options;
    response.once('close', () => this.handleCallerDisconnect());
    this.deadlineTimer = state.clock.after(this.remainingMs() + DEADLINE_GRACE_MS, () =>
      this.endNow('the time for the request is over', ErrorCode.DeadlineExceeded),
    );
    const refusal = this.admission.checkPoison() ?? this.place();
    if (refusal !== undefined) this.refuse(refusal);
    else if (this.placement !== undefined) this.sendFirst(this.placement);
  }

  private sendFirst(placement: Placement): void {
    this.send(placement);
    this.hedge.schedule(placement);
  }

  /** Also sends a slow call to a second endpoint, if that is granted; the first good response wins. */
  private sendHedge(): void {
    const { attempt } = this;
    if (this.isEnded || attempt === undefined || attempt.hasStarted || this.sentAttempts > 1)
      return;
    const placement = this.hedge.acquire(attempt.placement);
    if (placement === undefined) return;
    this.handover.beginHedge(attempt);
    this.send(placement);
  }

  /** Selects the first endpoint; the refusal if there is none or its wait is too long. */
  private place(): RequestError | undefined {
    this.admission.recordArrival();
    this.placement = this.planner.selectEndpoint();
    if (this.placement === undefined)
      return this.admission.createNoEndpointError('no endpoint takes requests');
    const admitted = this.admission.admit(this.placement, this.remainingMs(), (maxWaitMs) =>
      this.planner.selectEndpoint({ maxWaitMs }),
    );
    if (admitted instanceof RequestError) return admitted;
    this.placement = admitted;
    return undefined;
  }

  /**
   * Hands a stalled stream over to another endpoint. It stays where it is unless another attempt is granted and
   * the other endpoint takes it, since a sound endpoint may be silent for a while.
   */
  checkStall(now: number): void {
    const { attempt } = this;
    if (attempt === undefined || this.handover.isPending || !this.isStalled(attempt, now)) return;
    this.planner.exclude(attempt.placement.record);
    const placement = this.planner.acquireRetry();
    if (placement === undefined) {
      this.reporter.recordStall(attempt, this.planner.obstacle);
      return;
    }
    this.handover.begin(attempt);
    this.send(placement);
  }

  override handleWritten(attempt: CallAttempt): void {
    if (!this.handover.isEarlier(attempt)) this.handover.limitOverlap();
  }

  override acceptHead(attempt: CallAttempt, head: ResponseHead): boolean {
    const { record } = attempt.placement;
    const { load } = record;
    this.options.state.limits.recordHead(record, head, attempt.inFlight.sentAt);
    this.recordNotices(attempt, head);
    if (head.isNotRun) {
      const verdict = Verdict.NotRun;
      const message = `the endpoint refused with ${head.status}`;
      this.handleFailure(
        attempt,
        new RequestError(message, { code: ErrorCode.QueueFull, verdict }),
      );
      return false;
    }
    this.mayHaveRun = true;
    if (this.handover.isPending && !this.canTakeOver(head)) {
      this.handleFailure(attempt, createAnswerError(head));
      return false;
    }
    this.settleHandover(attempt);
    if (head.status < MIN_SERVER_ERROR_STATUS) {
      load.recordSuccess();
      return true;
    }
    load.recordFailure(this.now());
    return !this.tryRetryInsteadOf(attempt, head);
  }

  override recordForeignHead(attempt: CallAttempt, head: ResponseHead): void {
    this.recordNotices(attempt, head);
  }

  override handleEvent(attempt: CallAttempt, head: ResponseHead, event: StreamEvent): boolean {
    this.settleHandover(attempt);
    if (this.isOutOfOrder(event)) {
      attempt.fail(`event ${event.id ?? '?'} after ${this.lastEventId ?? '?'}`);
      return true;
    }
    if (!attempt.hasStarted) {
      this.recordContinuation(attempt, head, event);
      this.firstEventAt ??= this.now();
      this.binding.recordEvent(attempt.endpoint);
      this.latencyRecorder.recordFirstEvent(attempt, this.admission.shareUsage.shareUsed < 1);
    }
    this.latencyRecorder.recordEvent(attempt, this.remainingMs());
    if (!this.writer.hasBegun) this.writer.writeHead(head.status, head.forwardedHeaders);
    this.lastEventId = event.id ?? this.lastEventId;
    const canContinue = this.writer.write(event.bytes);
    if (!canContinue) this.writer.onceDrained(() => attempt.resume());
    return canContinue;
  }

  override handleStreamEnd(attempt: CallAttempt, head: ResponseHead): void {
    this.settleHandover(attempt);
    this.wasFramed = head.isFramed;
    if (!this.writer.hasBegun) this.writer.writeHead(head.status, head.forwardedHeaders);
    this.writer.end();
    this.binding.recordCompleted();
    this.evidence.recordCompleted(attempt, head.isFramed);
    this.latencyRecorder.recordDuration(attempt);
    this.latencyRecorder.recordStreamEnd();
    this.finish('ok');
  }

  override handleResponse(attempt: CallAttempt, head: ResponseHead, body: Buffer): void {
    if (this.writer.hasBegun) {
      this.abortResponse('an answer without events within a stream');
      return;
    }
    if (head.status < MIN_REDIRECT_STATUS) {
      this.evidence.recordCompleted(attempt, head.isFramed);
      this.latencyRecorder.recordPlainResponse(attempt);
      this.latencyRecorder.recordDuration(attempt);
    }
    this.wasFramed = head.isFramed;
    this.writer.send(head.status, head.forwardedHeaders, body);
    this.finish(`status_${head.status}`);
  }

  override handleFailure(attempt: CallAttempt, error: RequestError): void {
    const { record } = attempt.placement;
    const wasRefused = error.code === ErrorCode.QueueFull;
    if (error.verdict !== Verdict.NotRun) this.mayHaveRun = true;
    else if (!wasRefused) this.uncountAttempt();
    if (!wasRefused) record.load.recordFailure(this.now());
    this.planner.exclude(record);
    this.evidence.recordFailed(attempt, error);
    this.reporter.recordFailedAttempt(attempt, error, this.lastEventId);
    if (this.isEnded || this.goOnWithout(attempt)) return;
    const verdict = this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    this.perform(this.decideAction(verdict), error);
  }

  /** Whether the response of an attempt can be the caller's, or go on with it. */
  private canTakeOver({ isEventStream, status }: ResponseHead): boolean {
    if (this.writer.hasBegun) return isEventStream && status < MIN_REDIRECT_STATUS;
    return status < MIN_SERVER_ERROR_STATUS;
  }

  /** Ends a pending handover in favour of the attempt whose endpoint has proved that it goes on. */
  private settleHandover(attempt: CallAttempt): void {
    if (!this.handover.isEarlier(attempt)) {
      this.handover.complete();
      return;
    }
    this.attempt?.abort();
    this.goBack();
  }

  /** Continues with the other attempt of a pending handover after one has failed; false if there is none. */
  private goOnWithout(failed: CallAttempt): boolean {
    if (!this.handover.isPending) {
      this.attempt = undefined;
      return false;
    }
    if (this.handover.isEarlier(failed)) this.handover.end();
    else this.goBack();
    return true;
  }

  /** Makes the earlier attempt of a pending handover the current one again. */
  private goBack(): void {
    this.attempt = this.handover.end();
    this.placement = this.attempt?.placement;
  }

  private recordReplaced(earlier: CallAttempt): void {
    this.mayHaveRun = true;
    earlier.placement.record.load.recordFailure(this.now());
    this.reporter.recordFailedAttempt(earlier, createStallError(), this.lastEventId);
  }

  private decideAction(verdict: Verdict): FailureAction {
    return decideFailureAction({
      route: this.options.route,
      verdict,
      attempts: this.sentAttempts,
      hasResponseBegun: this.writer.hasBegun,
      remainingMs: this.remainingMs(),
    });
  }

  /** Whether the attempt is a stream that has received nothing for long and could go on elsewhere. */
  private isStalled(attempt: CallAttempt, now: number): boolean {
    const { silentSince } = attempt;
    if (!this.options.route.isResumable || silentSince === undefined) return false;
    if (now - silentSince <= STALL_TIMEOUT_MS) return false;
    if (!attempt.placement.record.load.isUnhealthy(now)) return false;
    const action = this.decideAction(Verdict.MayHaveRun);
    return action === FailureAction.Retry || action === FailureAction.Resume;
  }

  /** Counts the latest attempt as unsent: it failed before it reached an endpoint. */
  private uncountAttempt(): void {
    this.sentAttempts -= 1;
    this.planner.recordUnsent();
  }

  private perform(action: FailureAction, error: RequestError): void {
    switch (action) {
      case FailureAction.Retry:
      case FailureAction.Resume:
        if (this.trySendElsewhere()) return;
        this.endWithError(error);
        return;
      case FailureAction.Refuse:
      case FailureAction.Fail:
      case FailureAction.Abort:
        this.endWithError(error);
    }
  }

  /**
   * Ends the call: aborts a response that has begun, else sends an error that tells whether the request
   * may have run.
   */
  private endWithError(error: RequestError): void {
    if (this.writer.hasBegun) {
      this.abortResponse(error.message);
      return;
    }
    if (!this.mayHaveRun) {
      this.refuse(this.admission.createNoEndpointError(error.message));
      return;
    }
    this.fail(error.message, ErrorCode.EndpointFailed);
  }

  private send(placement: Placement): void {
    this.placement = placement;
    const { head, state, workspace, body, pool } = this.options;
    const { prompt } = head;
    this.sentAttempts += 1;
    if (this.sentAttempts + this.planner.unsentAttempts === 1) {
      state.pools.retryBudget(pool).recordRequest(state.countRouters(), this.now());
    }
    if (workspace !== undefined && prompt !== undefined) {
      state.shares.recordGrant(workspace, prompt, this.admission.isOverShare);
    }
    state.recordCached(placement.record, sharedSegments(prompt), placement.serviceMs);
    state.limits.recordSent(placement.record);
    state.warmUps.recordSent(placement.record);
    const kvCacheTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens;
    const attempt = new CallAttempt({
      handler: this,
      placement,
      clock: state.clock,
      kvCacheTokens,
    });
    this.attempt = attempt;
    const headers = state.protocol.encodeAttempt({
      call: head,
      endpoint: placement.record.endpoint,
      remainingMs: this.remainingMs(),
      workspace,
      resumeAfter: this.writer.hasBegun ? this.lastEventId : undefined,
      fetchFrom: placement.transfer?.source.address,
    });
    const { method, target, requestId } = head;
    const request = { method, target, requestId, headers, body };
    this.reporter.recordSent(placement, this.sentAttempts, this.remainingMs());
    attempt.request = placement.record.client.send(request, attempt);
  }

  /** Sends the call to another endpoint; false if no further attempt is granted. */
  private trySendElsewhere(): boolean {
    const placement = this.planner.acquireRetry();
    if (placement === undefined) return false;
    this.send(placement);
    return true;
  }

  /** Retries a call elsewhere after a server error, if it may be retried; true if it was sent again. */
  private tryRetryInsteadOf(attempt: CallAttempt, head: ResponseHead): boolean {
    if (this.writer.hasBegun) return false;
    if (this.decideAction(Verdict.MayHaveRun) !== FailureAction.Retry) return false;
    this.planner.exclude(attempt.placement.record);
    if (!this.trySendElsewhere()) return false;
    this.reporter.recordFailedAttempt(attempt, createAnswerError(head), undefined);
    return true;
  }

  /** Logs an event with which an attempt goes on with a stream; not the first event of a new stream. */
  private recordContinuation(attempt: CallAttempt, head: ResponseHead, event: StreamEvent): void {
    const previousId = this.lastEventId ?? this.options.head.lastEventId;
    if (previousId === undefined && !this.writer.hasBegun) return;
    this.reporter.recordContinuation(attempt, { head, eventId: event.id, previousId });
  }

  private isOutOfOrder(event: StreamEvent): boolean {
    if (event.id === undefined || this.lastEventId === undefined) return false;
    return event.id !== this.lastEventId + 1;
  }

  private handleCallerDisconnect(): void {
    if (this.isEnded) return;
    this.abortAttempts();
    this.finish('caller_left');
  }

  /** Ends the call with an honest answer, whatever runs of it. */
  endNow(reason: string, code: ErrorCode): void {
    if (this.isEnded) return;
    const mayHaveRun = this.mayHaveRun || this.attempt !== undefined;
    this.abortAttempts();
    if (this.writer.hasBegun) this.abortResponse(reason);
    else if (mayHaveRun) this.fail(reason, code);
    else this.refuse(this.admission.createDeadlineError(reason));
  }

  private abortAttempts(): void {
    this.handover.end()?.abort();
    this.attempt?.abort();
  }

  /** Records whether an endpoint says in a response that it drains, or that it wants a pause. */
  private recordNotices({ placement }: CallAttempt, head: ResponseHead): void {
    const { endpoints } = this.options.state;
    const { record } = placement;
    if (head.isDraining) endpoints.drain(record, DrainSource.Endpoint);
    if (head.pause !== undefined) endpoints.pause(record, head.pause);
  }

  private refuse(error: RequestError): void {
    this.admission.recordRefusal(error);
    this.writer.sendError(error);
    this.recordEnd('refused', error.message);
    this.close();
  }

  private fail(reason: string, code: ErrorCode): void {
    this.writer.sendError(new RequestError(reason, { code, verdict: Verdict.MayHaveRun }));
    this.recordEnd('failed', reason);
    this.close();
  }

  private abortResponse(reason: string): void {
    this.recordEnd('cut', reason);
    this.close();
    this.writer.abort();
  }

  private finish(outcome: string): void {
    this.recordEnd(outcome);
    this.close();
  }

  private close(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.deadlineTimer?.stop();
    this.hedge.stop();
    this.options.onEnd(this);
  }

  private recordEnd(outcome: string, reason?: string): void {
    this.reporter.recordEnd({
      outcome,
      reason,
      placement: this.placement,
      shareUsage: this.admission.shareUsage,
      isCallerRetry: this.admission.isCallerRetry,
      attempts: this.sentAttempts,
      retryObstacle: this.planner.obstacle,
      lastEventId: this.lastEventId,
      wasFramed: this.wasFramed,
      firstEventAt: this.firstEventAt,
      longestPauseMs: this.latencyRecorder.longestPauseMs,
    });
  }

  private remainingMs(): number {
    return this.deadlineAt - this.now();
  }

  private now(): number {
    return this.options.state.clock.monotonic();
  }
}

function createStallError(): RequestError {
  return new RequestError('the stream fell silent', {
    code: ErrorCode.IncompleteAnswer,
    verdict: Verdict.MayHaveRun,
  });
}

function createAnswerError({ status }: ResponseHead): RequestError {
  return new RequestError(`the endpoint answered ${status}`, {
    code: ErrorCode.EndpointFailed,
    verdict: Verdict.MayHaveRun,
  });
}
