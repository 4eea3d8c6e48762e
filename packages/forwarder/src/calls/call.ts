/**
 * The life of one call: it is placed, sent, perhaps sent again, and answered. It owns the request to
 * its end: when the caller leaves, its endpoint is freed; when its time is over, the caller is told.
 */
import type { ServerResponse } from 'node:http';
import { FailureAction, decideFailureAction } from '@poplarpick/decisions';
import type { Route, ShareUsage, StreamEvent } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import type { Timer } from '@poplarpick/kernel';
import { partsOf } from '../router-state.ts';
import type { RouterState } from '../router-state.ts';
import { AnswerWriter } from './answer-writer.ts';
import { AttemptOwner, AttemptRun } from './attempt-run.ts';
import { CallJournal } from './call-journal.ts';
import { CallMeasures } from './call-measures.ts';
import type { AnswerHead, CallHead } from './call-protocol.ts';
import type { CallPlacement, Place } from './call-placement.ts';

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
  placement: CallPlacement;
  head: CallHead;
  route: Route;
  pool: string;
  workspace: string | undefined;
  body: Buffer | undefined;
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** The connection is to be closed after this answer. */
  isLastAnswer: () => boolean;
  /** The key still belongs to the workspace. */
  isKeyValid: () => boolean;
  onEnd: (call: Call) => void;
}

/** One call. */
export class Call extends AttemptOwner {
  private readonly options: CallOptions;
  private readonly writer: AnswerWriter;
  private readonly excluded = new Set<string>();
  private readonly journal: CallJournal;
  private readonly measures: CallMeasures;
  private run: AttemptRun | undefined;
  /** Where the call was placed last. */
  private place: Place | undefined;
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
    this.writer = new AnswerWriter(options.response, options.isLastAnswer);
    this.journal = new CallJournal(options);
    this.measures = new CallMeasures(options);
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
  checkSilence(now: number): void {
    const { route } = this.options;
    const { run } = this;
    if (run === undefined || !route.isResumable || this.sentAttempts >= route.maxAttempts) return;
    const isSilent = now - run.lastByteAt > STREAM_SILENCE_MS;
    if (isSilent && run.place.record.load.isUnhealthy(now)) run.failWith('the stream fell silent');
  }

  override acceptHead(run: AttemptRun, head: AnswerHead): boolean {
    const { load } = run.place.record;
    if (head.isNotRun) {
      const verdict = Verdict.NotRun;
      const message = `the endpoint refused with ${head.status}`;
      this.attemptFailed(run, new RequestError(message, { code: ErrorCode.QueueFull, verdict }));
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

  override takeEvent(run: AttemptRun, head: AnswerHead, event: StreamEvent): boolean {
    if (this.isOutOfOrder(event)) {
      run.failWith(`event ${event.id ?? '?'} after ${this.lastEventId ?? '?'}`);
      return true;
    }
    if (!run.hasStarted) {
      this.firstEventAt ??= this.now();
      this.measures.noteFirstEvent(run, this.shareUse.shareUsed < 1);
    }
    if (!this.writer.hasBegun) this.writer.begin(head.status, head.passedHeaders);
    this.lastEventId = event.id ?? this.lastEventId;
    const keepsUp = this.writer.write(event.bytes);
    if (!keepsUp) this.writer.onceDrained(() => run.attempt?.resume());
    return keepsUp;
  }

  override endStream(run: AttemptRun, head: AnswerHead): void {
    if (!this.writer.hasBegun) this.writer.begin(head.status, head.passedHeaders);
    this.writer.end();
    this.measures.noteDuration(run);
    this.finish('ok');
  }

  override takeWhole(run: AttemptRun, head: AnswerHead, body: Buffer): void {
    if (this.writer.hasBegun) {
      this.cut('an answer without events within a stream');
      return;
    }
    if (head.status < SUCCESS_LIMIT) {
      this.measures.notePlainAnswer(run);
      this.measures.noteDuration(run);
    }
    this.writer.sendWhole(head.status, head.passedHeaders, body);
    this.finish(`status_${head.status}`);
  }

  override attemptFailed(run: AttemptRun, error: RequestError): void {
    const { route } = this.options;
    const { record } = run.place;
    const wasRefused = error.code === ErrorCode.QueueFull;
    if (error.verdict !== Verdict.NotRun) this.mayHaveRun = true;
    else if (!wasRefused) this.noteUnsent();
    if (!wasRefused) record.load.recordFailure(this.now());
    this.excluded.add(record.name);
    this.run = undefined;
    this.journal.noteFailedAttempt(run, error, this.lastEventId);
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

  private findPlace(): Place | undefined {
    const { route, pool, head, placement, body } = this.options;
    const { excluded } = this;
    const bodyBytes = body?.length ?? 0;
    return placement.place({ route, pool, prompt: head.prompt, bodyBytes, excluded });
  }

  private admit(place: Place): boolean {
    const { route, head, placement } = this.options;
    const isReturning = placement.isReturning(route, head.deadlineMs ?? route.timeoutMs);
    this.isReturning = isReturning;
    this.shareUse = this.noteAsked(isReturning);
    const { shareUse } = this;
    const leftMs = this.leftMs();
    const admission = placement.admit({ route, leftMs, shareUse, isReturning }, place);
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
    if (!isReturning) state.noteAsked(workspace, head.prompt);
    return state.shareUse(workspace);
  }

  private send(place: Place): void {
    this.place = place;
    const { head, state, workspace, body, pool } = this.options;
    const { prompt } = head;
    this.sentAttempts += 1;
    if (this.sentAttempts + this.unsentAttempts === 1) {
      state.budgetOf(pool).recordRequest(state.countRouters(), this.now());
    }
    if (workspace !== undefined && prompt !== undefined) {
      state.noteGranted(workspace, prompt, this.isBeyondShare);
    }
    state.noteKept(place.record, partsOf(prompt));
    const heldTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens;
    const run = new AttemptRun({ owner: this, place, clock: state.clock, heldTokens });
    this.run = run;
    const headers = state.protocol.writeAttempt({
      call: head,
      endpoint: place.record.endpoint,
      leftMs: this.leftMs(),
      workspace,
      resumeAfter: this.writer.hasBegun ? this.lastEventId : undefined,
    });
    const { method, target, requestId } = head;
    const request = { method, target, requestId, headers, body };
    this.journal.noteSent(place, this.sentAttempts, this.leftMs());
    run.attempt = place.record.client.send(request, run);
  }

  /** Sends the call to another endpoint; false where there is none or the budget is spent. */
  private sendAgain(): boolean {
    const { state, pool, isKeyValid } = this.options;
    if (this.unsentAttempts > UNSENT_LIMIT || !isKeyValid()) return false;
    const place = this.findPlace();
    if (place === undefined) return false;
    if (!state.budgetOf(pool).tryAcquire(state.countRouters(), this.now())) return false;
    this.send(place);
    return true;
  }

  /** An idempotent call that an endpoint failed is tried elsewhere, where another attempt is left. */
  private repeatInsteadOf(run: AttemptRun, head: AnswerHead): boolean {
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
    this.excluded.add(run.place.record.name);
    if (!this.sendAgain()) return false;
    const message = `the endpoint answered ${head.status}`;
    const verdict = Verdict.MayHaveRun;
    const error = new RequestError(message, { code: ErrorCode.EndpointFailed, verdict });
    this.journal.noteFailedAttempt(run, error, undefined);
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
    this.writer.sendFailure(new RequestError(reason, { code, verdict, retryAfterSeconds }));
    this.logEnd('refused', reason);
    this.close();
  }

  private fail(reason: string, code: ErrorCode): void {
    this.writer.sendFailure(new RequestError(reason, { code, verdict: Verdict.MayHaveRun }));
    this.logEnd('failed', reason);
    this.close();
  }

  private cut(reason: string): void {
    this.logEnd('cut', reason);
    this.close();
    this.writer.cut();
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
    this.journal.noteEnd({
      outcome,
      reason,
      place: this.place,
      shareUse: this.shareUse,
      isReturning: this.isReturning,
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
