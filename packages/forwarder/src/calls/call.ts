/**
 * The life of one call: it is placed, sent, perhaps sent again, and answered. It owns the request to
 * its end: when the caller leaves, its endpoint is freed; when its time is over, the caller is told.
 */
import type { ServerResponse } from 'node:http';
import { FailureAction, decideFailureAction } from '@poplarpick/decisions';
import type { Route, ShareUsage, StreamEvent } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { sharedSegments } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';
import { ResponseWriter } from './response-writer.ts';
import { AttemptHandler, CallAttempt } from './call-attempt.ts';
import { CallReporter } from './call-reporter.ts';
import { CallLatencyRecorder } from './call-latency-recorder.ts';
import type { ResponseHead, CallHead } from './call-protocol.ts';
import type { CallPlacer, Placement } from './call-placer.ts';

/** Time after the deadline that an endpoint's own answer to it may take, in ms. */
const DEADLINE_GRACE_MS = 80;

/** Silence of a stream that can go on elsewhere after which it does, in ms. */
const STREAM_SILENCE_MS = 1_000;

/** Attempts that reached no endpoint, after which a call is refused. */
const UNSENT_LIMIT = 3;

const MS_PER_SECOND = 1_000;
const FIRST_SERVER_ERROR = 500;
const SUCCESS_LIMIT = 300;

const NO_SHARE: ShareUsage = { shareUsed: 0, surplusUsed: 0 };

/** When to come back if there is no endpoint, in seconds. */
const NO_ENDPOINT_RETRY_S = 0.5;

/** A call that has passed the checks. */
export interface CallOptions {
  state: RouterState;
  placer: CallPlacer;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  body: Buffer | undefined;
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** The connection is to be closed after this answer. */
  shouldCloseConnection: () => boolean;
  /** The key still belongs to the workspace. */
  isKeyValid: () => boolean;
  onEnd: (call: Call) => void;
}

/** One call. */
export class Call extends AttemptHandler {
  private readonly options: CallOptions;
  private readonly writer: ResponseWriter;
  private readonly excluded = new Set<string>();
  private readonly journal: CallReporter;
  private readonly measures: CallLatencyRecorder;
  private run: CallAttempt | undefined;
  /** Where the call was placed last. */
  private place: Placement | undefined;
  private timer: Timer | undefined;
  private sentAttempts = 0;
  private unsentAttempts = 0;
  private mayHaveRun = false;
  private lastEventId: number | undefined;
  private firstEventAt: number | undefined;
  private isOver = false;
  private shareUse: ShareUsage = NO_SHARE;
  private isReturning = false;
  /** Its workspace had had its share when the call was accepted. */
  private isBeyondShare = false;
  private readonly endsAt: number;

  constructor(options: CallOptions) {
    super();
    this.options = options;
    this.writer = new ResponseWriter(options.response, options.shouldCloseConnection);
    this.journal = new CallReporter(options);
    this.measures = new CallLatencyRecorder(options);
    const { head, route, arrivedAt } = options;
    this.endsAt = arrivedAt + Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  }

  /** Places and sends the call, or refuses it. */
  start(): void {
    const { response, state } = this.options;
    response.once('close', () => this.callerLeft());
    this.timer = state.clock.after(this.leftMs() + DEADLINE_GRACE_MS, () => this.timeUp());
    const place = this.findPlace();
    this.place = place;
    if (place === undefined) {
      this.refuse('no endpoint takes requests', ErrorCode.NoEndpoint, NO_ENDPOINT_RETRY_S);
      return;
    }
    if (this.admit(place)) this.send(place);
  }

  /** Lets a stream that has fallen silent go on elsewhere, where its route allows that. */
  checkStall(now: number): void {
    const { route } = this.options;
    const { run } = this;
    if (run === undefined || !route.isResumable || this.sentAttempts >= route.maxAttempts) return;
    const isSilent = now - run.lastByteAt > STREAM_SILENCE_MS;
    if (isSilent && run.placement.record.load.isUnhealthy(now)) run.fail('the stream fell silent');
  }

  override acceptHead(run: CallAttempt, head: ResponseHead): boolean {
    const { load } = run.placement.record;
    if (head.isNotRun) {
      const verdict = Verdict.NotRun;
      const message = `the endpoint refused with ${head.status}`;
      this.handleFailure(run, new RequestError(message, { code: ErrorCode.QueueFull, verdict }));
      return false;
    }
    this.mayHaveRun = true;
    if (head.status < FIRST_SERVER_ERROR) {
      load.recordSuccess();
      return true;
    }
    load.recordFailure(this.now());
    return !this.repeatInsteadOf(run, head);
  }

  override handleEvent(run: CallAttempt, head: ResponseHead, event: StreamEvent): boolean {
    if (this.isOutOfOrder(event)) {
      run.fail(`event ${event.id ?? '?'} after ${this.lastEventId ?? '?'}`);
      return true;
    }
    if (!run.hasStarted) {
      this.firstEventAt ??= this.now();
      this.measures.recordFirstEvent(run, this.shareUse.shareUsed < 1);
    }
    if (!this.writer.hasBegun) this.writer.writeHead(head.status, head.forwardedHeaders);
    this.lastEventId = event.id ?? this.lastEventId;
    const keepsUp = this.writer.write(event.bytes);
    if (!keepsUp) this.writer.onceDrained(() => run.request?.resume());
    return keepsUp;
  }

  override handleStreamEnd(run: CallAttempt, head: ResponseHead): void {
    if (!this.writer.hasBegun) this.writer.writeHead(head.status, head.forwardedHeaders);
    this.writer.end();
    this.measures.recordDuration(run);
    this.finish('ok');
  }

  override handleResponse(run: CallAttempt, head: ResponseHead, body: Buffer): void {
    if (this.writer.hasBegun) {
      this.cut('an answer without events within a stream');
      return;
    }
    if (head.status < SUCCESS_LIMIT) {
      this.measures.recordPlainResponse(run);
      this.measures.recordDuration(run);
    }
    this.writer.send(head.status, head.forwardedHeaders, body);
    this.finish(`status_${head.status}`);
  }

  override handleFailure(run: CallAttempt, error: RequestError): void {
    const { route } = this.options;
    const { record } = run.placement;
    const wasRefused = error.code === ErrorCode.QueueFull;
    if (error.verdict !== Verdict.NotRun) this.mayHaveRun = true;
    else if (!wasRefused) this.noteUnsent();
    if (!wasRefused) record.load.recordFailure(this.now());
    this.excluded.add(record.incarnation);
    this.run = undefined;
    this.journal.recordFailedAttempt(run, error, this.lastEventId);
    if (this.isOver) return;
    const step = decideFailureAction({
      route,
      verdict: this.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
      attempts: this.sentAttempts,
      hasResponseBegun: this.writer.hasBegun,
      remainingMs: this.leftMs(),
    });
    this.follow(step, error);
  }

  /** The endpoint has not seen the attempt that was just made. */
  private noteUnsent(): void {
    this.sentAttempts -= 1;
    this.unsentAttempts += 1;
  }

  private follow(step: FailureAction, error: RequestError): void {
    switch (step) {
      case FailureAction.Retry:
      case FailureAction.Resume:
        if (this.sendAgain()) return;
        this.giveUp(error);
        return;
      case FailureAction.Refuse:
      case FailureAction.Fail:
      case FailureAction.Abort:
        this.giveUp(error);
    }
  }

  /** Ends the call with what is true: cut off, may have run, or not run. */
  private giveUp(error: RequestError): void {
    if (this.writer.hasBegun) {
      this.cut(error.message);
      return;
    }
    if (!this.mayHaveRun) {
      this.refuse(error.message, ErrorCode.NoEndpoint, NO_ENDPOINT_RETRY_S);
      return;
    }
    this.fail(error.message, ErrorCode.EndpointFailed);
  }

  private findPlace(): Placement | undefined {
    const { route, pool, head, placer, body } = this.options;
    const { excluded } = this;
    const bodyBytes = body?.length ?? 0;
    return placer.place({ route, pool, prompt: head.prompt, bodyBytes, excluded });
  }

  private admit(place: Placement): boolean {
    const { route, head, placer } = this.options;
    const isCallerRetry = placer.isCallerRetry(route, head.deadlineMs ?? route.timeoutMs);
    this.isReturning = isCallerRetry;
    this.shareUse = this.noteAsked(isCallerRetry);
    const { shareUse: shareUsage } = this;
    const remainingMs = this.leftMs();
    const admission = placer.admit({ route, remainingMs, shareUsage, isCallerRetry }, place);
    this.isBeyondShare = admission.isOverShare;
    if (admission.isAccepted) return true;
    const seconds = admission.retryAfterMs / MS_PER_SECOND;
    const reason = admission.isOverShare
      ? 'the workspace has had its share'
      : 'the wait is too long';
    this.refuse(reason, ErrorCode.QueueFull, seconds);
    return false;
  }

  /** Notes the demand of the workspace; returns what it has had of its share. */
  private noteAsked(isReturning: boolean): ShareUsage {
    const { head, workspace, state } = this.options;
    if (workspace === undefined || head.prompt === undefined) return NO_SHARE;
    if (!isReturning) state.recordDemand(workspace, head.prompt);
    return state.shareUsage(workspace);
  }

  private send(placement: Placement): void {
    this.place = placement;
    const { head, state, workspace, body, pool } = this.options;
    const { prompt } = head;
    this.sentAttempts += 1;
    if (this.sentAttempts + this.unsentAttempts === 1) {
      state.retryBudget(pool).recordRequest(state.countRouters(), this.now());
    }
    if (workspace !== undefined && prompt !== undefined) {
      state.recordGrant(workspace, prompt, this.isBeyondShare);
    }
    state.recordCached(placement.record, sharedSegments(prompt));
    const kvCacheTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens;
    const run = new CallAttempt({ owner: this, placement, clock: state.clock, kvCacheTokens });
    this.run = run;
    const headers = state.protocol.encodeAttempt({
      call: head,
      endpoint: placement.record.endpoint,
      remainingMs: this.leftMs(),
      workspace,
      resumeAfter: this.writer.hasBegun ? this.lastEventId : undefined,
    });
    const { method, target, requestId } = head;
    const request = { method, target, requestId, headers, body };
    this.journal.recordSent(placement, this.sentAttempts, this.leftMs());
    run.request = placement.record.client.send(request, run);
  }

  /** Sends the call to another endpoint; false where there is none or the budget is spent. */
  private sendAgain(): boolean {
    const { state, pool, isKeyValid } = this.options;
    if (this.unsentAttempts > UNSENT_LIMIT || !isKeyValid()) return false;
    const place = this.findPlace();
    if (place === undefined) return false;
    if (!state.retryBudget(pool).tryAcquire(state.countRouters(), this.now())) return false;
    this.send(place);
    return true;
  }

  /** An idempotent call that an endpoint failed is tried elsewhere, where another attempt is left. */
  private repeatInsteadOf(run: CallAttempt, head: ResponseHead): boolean {
    if (this.writer.hasBegun) return false;
    const { route } = this.options;
    const step = decideFailureAction({
      route,
      verdict: Verdict.MayHaveRun,
      attempts: this.sentAttempts,
      hasResponseBegun: false,
      remainingMs: this.leftMs(),
    });
    if (step !== FailureAction.Retry) return false;
    this.excluded.add(run.placement.record.incarnation);
    if (!this.sendAgain()) return false;
    const message = `the endpoint answered ${head.status}`;
    const verdict = Verdict.MayHaveRun;
    const error = new RequestError(message, { code: ErrorCode.EndpointFailed, verdict });
    this.journal.recordFailedAttempt(run, error, undefined);
    return true;
  }

  private isOutOfOrder(event: StreamEvent): boolean {
    if (event.id === undefined || this.lastEventId === undefined) return false;
    return event.id !== this.lastEventId + 1;
  }

  private callerLeft(): void {
    if (this.isOver) return;
    this.run?.abort();
    this.finish('caller_left');
  }

  private timeUp(): void {
    if (this.isOver) return;
    const hasRun = this.mayHaveRun || this.run !== undefined;
    this.run?.abort();
    if (this.writer.hasBegun) this.cut('the time for the request is over');
    else if (hasRun) this.fail('the time for the request is over', ErrorCode.DeadlineExceeded);
    else this.refuse('the time for the request is over', ErrorCode.NoEndpoint, 0);
  }

  private refuse(reason: string, code: ErrorCode, retryAfterSeconds: number): void {
    const verdict = Verdict.NotRun;
    this.writer.sendError(new RequestError(reason, { code, verdict, retryAfterSeconds }));
    this.logEnd('refused', reason);
    this.close();
  }

  private fail(reason: string, code: ErrorCode): void {
    this.writer.sendError(new RequestError(reason, { code, verdict: Verdict.MayHaveRun }));
    this.logEnd('failed', reason);
    this.close();
  }

  private cut(reason: string): void {
    this.logEnd('cut', reason);
    this.close();
    this.writer.abort();
  }

  private finish(outcome: string): void {
    this.logEnd(outcome);
    this.close();
  }

  private close(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.timer?.stop();
    this.options.onEnd(this);
  }

  private logEnd(outcome: string, reason?: string): void {
    this.journal.recordEnd({
      outcome,
      reason,
      placement: this.place,
      shareUsage: this.shareUse,
      isCallerRetry: this.isReturning,
      attempts: this.sentAttempts,
      firstEventAt: this.firstEventAt,
    });
  }

  private leftMs(): number {
    return this.endsAt - this.now();
  }

  private now(): number {
    return this.options.state.clock.monotonic();
  }
}
