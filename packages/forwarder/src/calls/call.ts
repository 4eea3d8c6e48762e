/**
 * State machine of one call: admits it, sends it to an endpoint, retries or resumes it at other
 * endpoints after failures, and writes the response. Stops the running attempt when the caller
 * disconnects, and sends an error when the deadline expires.
 */
import { AnswerFault, EventAction, FailureAction } from '@poplarpick/decisions';
import type { StreamEvent } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { AttemptEvidence } from '../poison/attempt-evidence.ts';
import { hashRequest } from '../poison/request-hash.ts';
import { sharedSegmentHashes } from '../shared-segments.ts';
import { createFaultError, createStallError, isEndpointFailure } from './attempt-errors.ts';
import { AttemptPlanner } from './attempt-planner.ts';
import { AttemptSender } from './attempt-sender.ts';
import { CallAdmission } from './call-admission.ts';
import { CallContinuation, goesElsewhere } from './call-continuation.ts';
import { CallHedge } from './call-hedge.ts';
import { callDeadlineAt } from './call-deadline.ts';
import { CallResponse } from './call-response.ts';
import { AttemptHandler } from './call-attempt.ts';
import type { CallAttempt } from './call-attempt.ts';
import { CallReporter } from './call-reporter.ts';
import { CallLatencyRecorder } from './call-latency-recorder.ts';
import { CallEnding } from './call-ending.ts';
import type { CallOptions } from './call-options.ts';
import type { ResponseHead } from './call-protocol.ts';
import type { Placement } from './endpoint-evaluator.ts';
import { recordNotices } from './endpoint-notices.ts';
import { RunningAttempts } from './running-attempts.ts';
import { StreamBinding } from './stream-binding.ts';

/** Time after the deadline that an endpoint's own timeout response may take to arrive, in ms. */
const DEADLINE_GRACE_MS = 80;

const MIN_REDIRECT_STATUS = 300;

/** Handles one call from admission to the end of its response. */
export class Call extends AttemptHandler {
  private readonly options: CallOptions;
  private readonly response: CallResponse;
  private readonly binding: StreamBinding;
  private readonly admission: CallAdmission;
  private readonly planner: AttemptPlanner;
  private readonly sender: AttemptSender;
  private readonly continuation: CallContinuation;
  private readonly running: RunningAttempts;
  private readonly ending: CallEnding;
  private readonly hedge: CallHedge;
  private readonly evidence: AttemptEvidence;
  private readonly reporter: CallReporter;
  private readonly latencyRecorder: CallLatencyRecorder;
  private deadlineTimer: Timer | undefined;
  /** An endpoint may have run the request. */
  private mayHaveRun = false;
  private firstEventAt: number | undefined;
  /** Monotonic time of the deadline, in ms. */
  private readonly deadlineAt: number;

  constructor(options: CallOptions) {
    super();
    this.options = options;
    const { head, workspace, body, state } = options;
    const owner = workspace ?? options.response.socket?.remoteAddress ?? '';
    this.response = new CallResponse({ ...options, budget: state.listeners.budget, owner });
    const requestHash = hashRequest({ ...head, workspace, body });
    const segmentHashes = sharedSegmentHashes(head.prompt);
    const suspectHashes = [requestHash, ...segmentHashes];
    const binding = new StreamBinding(options);
    this.binding = binding;
    this.admission = new CallAdmission({ ...options, binding, suspectHashes });
    this.planner = new AttemptPlanner({ ...options, binding, suspectHashes });
    this.running = new RunningAttempts({
      clock: options.state.clock,
      onReplaced: (earlier) => this.recordReplaced(earlier),
    });
    const { planner } = this;
    this.hedge = new CallHedge({ ...options, planner, onSlow: () => this.sendHedge() });
    this.evidence = new AttemptEvidence({ state, suspectHashes });
    this.reporter = new CallReporter({ ...options, segmentHashes, requestHash });
    this.deadlineAt = callDeadlineAt(head, options.route, options.arrivedAt);
    const { admission, reporter, deadlineAt } = this;
    this.sender = new AttemptSender({
      ...options,
      binding,
      handler: this,
      admission,
      planner,
      reporter,
      deadlineAt,
    });
    this.continuation = new CallContinuation({
      route: options.route,
      response: this.response,
      sender: this.sender,
      remainingMs: () => this.remainingMs(),
    });
    const outputTokens = head.prompt?.outputTokens;
    this.latencyRecorder = new CallLatencyRecorder({ ...options, outputTokens });
    this.ending = new CallEnding({
      response: this.response,
      admission,
      planner,
      sender: this.sender,
      reporter,
      latencyRecorder: this.latencyRecorder,
      readProgress: () => {
        const { running, firstEventAt } = this;
        return { placement: running.placement, firstEventAt };
      },
      onEnded: () => this.close(),
    });
  }

  /** Selects an endpoint and sends the call there, or refuses the call. */
  start(): void {
    const { response, state } = this.options;
    response.once('close', () => this.handleCallerDisconnect());
    this.deadlineTimer = state.clock.after(this.remainingMs() + DEADLINE_GRACE_MS, () =>
      this.endNow('the time for the request is over', ErrorCode.DeadlineExceeded),
    );
    const refusal = this.admission.checkPoison() ?? this.place();
    const { placement } = this.running;
    if (refusal !== undefined) this.ending.refuse(refusal);
    else if (placement !== undefined) this.sendFirst(placement);
  }

  private sendFirst(placement: Placement): void {
    this.send(placement);
    this.hedge.schedule(placement);
  }

  /** Also sends a slow call to a second endpoint, if that is granted; the first good response wins. */
  private sendHedge(): void {
    const attempt = this.running.current;
    if (this.ending.isEnded || attempt === undefined || attempt.hasStarted) return;
    if (this.sender.sentAttempts > 1) return;
    const placement = this.hedge.acquire(attempt.placement);
    if (placement === undefined) return;
    this.running.beginHedge(attempt);
    this.send(placement);
  }

  /** Selects the first endpoint; the refusal if there is none or its wait is too long. */
  private place(): RequestError | undefined {
    this.admission.recordArrival();
    const selected = this.planner.selectEndpoint();
    this.running.placement = selected;
    if (selected === undefined)
      return this.admission.createNoEndpointError('no endpoint takes requests');
    const admitted = this.admission.admit(selected, this.remainingMs(), (maxWaitMs) =>
      this.planner.selectEndpoint({ maxWaitMs }),
    );
    if (admitted instanceof RequestError) return admitted;
    this.running.placement = admitted;
    return undefined;
  }

  /**
   * Hands a stalled stream over to another endpoint. It stays where it is unless another attempt is granted and
   * the other endpoint takes it, since a sound endpoint may be silent for a while.
   */
  checkStall(now: number): void {
    const attempt = this.running.current;
    this.binding.checkProof();
    if (attempt === undefined || this.running.areTwo || !this.continuation.isStalled(attempt, now))
      return;
    this.planner.exclude(attempt.placement.record);
    const placement = this.planner.acquireRetry();
    if (placement === undefined) {
      this.reporter.recordStall(attempt, this.planner.obstacle);
      return;
    }
    this.running.beginHandover(attempt);
    this.send(placement);
  }

  override handleWritten(attempt: CallAttempt): void {
    this.running.recordWritten(attempt);
  }

  override acceptHead(attempt: CallAttempt, head: ResponseHead): boolean {
    const { record } = attempt.placement;
    const { load } = record;
    this.options.state.limits.recordHead(record, head, attempt.inFlight.sentAt);
    recordNotices(this.options.state.endpoints, record, head);
    const fault = attempt.check.checkHead(head);
    if (fault !== AnswerFault.Refused) this.mayHaveRun = true;
    if (fault === AnswerFault.ServerError && !this.running.areTwo) {
      load.recordFailure(this.now());
      return !this.tryRetryInsteadOf(attempt, head);
    }
    if (fault !== undefined) {
      this.handleFailure(attempt, createFaultError(head, fault));
      return false;
    }
    load.recordSuccess();
    // A stream proves with an event that it is the caller's.
    if (!head.isEventStream) this.running.settle(attempt);
    return true;
  }

  override recordForeignHead(attempt: CallAttempt, head: ResponseHead): void {
    recordNotices(this.options.state.endpoints, attempt.placement.record, head);
  }

  override handleEvent(attempt: CallAttempt, head: ResponseHead, event: StreamEvent): boolean {
    switch (attempt.check.checkEvent(event)) {
      case EventAction.Reject:
        attempt.fail(
          `event ${event.id ?? '?'} after ${this.response.lastEventId ?? '?'}`,
          ErrorCode.EndpointFailed,
        );
        return true;
      case EventAction.Hold:
        attempt.holdComment(event.bytes);
        return true;
      case EventAction.Pass:
        return this.passEvent(attempt, head, event);
    }
  }

  override handleStreamEnd(attempt: CallAttempt, head: ResponseHead): void {
    const fault = attempt.check.checkStreamEnd(head);
    if (fault !== undefined) {
      this.handleFailure(attempt, createFaultError(head, fault));
      return;
    }
    this.running.settle(attempt);
    this.response.endStream(head, attempt.takeComments());
    this.binding.recordCompleted();
    this.evidence.recordCompleted(attempt, head.isFramed);
    this.latencyRecorder.recordDuration(attempt);
    this.latencyRecorder.recordStreamEnd();
    this.ending.finish('ok');
  }

  override handleResponse(attempt: CallAttempt, head: ResponseHead, body: Buffer): void {
    const fault = attempt.check.checkBody(head, body.length);
    if (fault !== undefined) {
      this.handleFailure(attempt, createFaultError(head, fault));
      return;
    }
    if (head.status < MIN_REDIRECT_STATUS) {
      this.evidence.recordCompleted(attempt, head.isFramed);
      this.latencyRecorder.recordPlainResponse(attempt);
      this.latencyRecorder.recordDuration(attempt);
    }
    this.response.send(head, body);
    this.ending.finish(`status_${head.status}`);
  }

  override handleFailure(attempt: CallAttempt, error: RequestError): void {
    const { record } = attempt.placement;
    if (error.verdict === Verdict.NotRun) {
      if (error.code !== ErrorCode.QueueFull) this.sender.uncount();
      this.sender.returnGrant();
    } else this.mayHaveRun = true;
    const { isLate } = this.options.state.link;
    if (isEndpointFailure(error, isLate)) record.load.recordFailure(this.now());
    this.planner.exclude(record);
    this.evidence.recordFailed(attempt, error);
    this.reporter.recordFailedAttempt(attempt, error, this.response.sentEventId);
    if (this.ending.isEnded || this.running.goOnWithout(attempt)) return;
    const verdict = this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
    this.binding.whenProved(() => {
      if (!this.ending.isEnded) this.perform(this.continuation.decide(verdict), error);
    });
  }

  /** Passes on an event that has proved that its attempt serves the caller. */
  private passEvent(attempt: CallAttempt, head: ResponseHead, event: StreamEvent): boolean {
    this.running.settle(attempt);
    if (!attempt.hasStarted) {
      const { isContinued, lastEventId: previousId } = this.response;
      if (isContinued)
        this.reporter.recordContinuation(attempt, { head, eventId: event.id, previousId });
      this.firstEventAt ??= this.now();
      this.binding.recordEvent(attempt);
      this.latencyRecorder.recordFirstEvent(attempt, this.admission.shareUsage.shareUsed < 1);
    }
    this.latencyRecorder.recordEvent(attempt, this.remainingMs());
    const canContinue = this.response.writeEvent(head, event, attempt.takeComments());
    if (!canContinue) this.response.onceDrained(() => attempt.resume());
    return canContinue;
  }

  private recordReplaced(earlier: CallAttempt): void {
    this.mayHaveRun = true;
    earlier.placement.record.load.recordFailure(this.now());
    this.reporter.recordFailedAttempt(earlier, createStallError(), this.response.sentEventId);
  }

  private perform(action: FailureAction, error: RequestError): void {
    if (goesElsewhere(action) && this.trySendElsewhere()) return;
    this.endWithError(error);
  }

  /**
   * Ends the call: aborts a response that has begun, else sends an error that tells whether the request
   * may have run.
   */
  private endWithError(error: RequestError): void {
    if (this.response.hasBegun) {
      this.ending.breakOff(error.message);
      return;
    }
    if (!this.mayHaveRun) {
      this.ending.refuse(this.admission.createNoEndpointError(error.message));
      return;
    }
    this.ending.fail(error.message, ErrorCode.EndpointFailed);
  }

  private send(placement: Placement): void {
    this.running.placement = placement;
    const { response } = this;
    const { resumeAfter } = response;
    const check = response.createCheck();
    this.sender.send({ placement, check, resumeAfter }, (attempt) => {
      this.running.current = attempt;
    });
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
    if (this.continuation.decide(Verdict.MayHaveRun) !== FailureAction.Retry) return false;
    this.planner.exclude(attempt.placement.record);
    if (!this.trySendElsewhere()) return false;
    const error = createFaultError(head, AnswerFault.ServerError);
    this.reporter.recordFailedAttempt(attempt, error, undefined);
    return true;
  }

  private handleCallerDisconnect(): void {
    if (this.ending.isEnded) return;
    this.running.abort();
    this.ending.finish('caller_left');
  }

  /** Ends the call with an honest answer, whatever runs of it. */
  endNow(reason: string, code: ErrorCode): void {
    if (this.ending.isEnded) return;
    const mayHaveRun = this.mayHaveRun || this.running.current !== undefined;
    this.running.abort();
    if (this.response.hasBegun) this.ending.breakOff(reason);
    else if (mayHaveRun) this.ending.fail(reason, code);
    else this.ending.refuse(this.admission.createDeadlineError(reason));
  }

  private close(): void {
    this.deadlineTimer?.stop();
    this.hedge.stop();
    this.binding.recordEnded();
    this.options.onEnd(this);
  }

  private remainingMs(): number {
    return this.deadlineAt - this.now();
  }

  private now(): number {
    return this.options.state.clock.monotonic();
  }
}
