/** Sends the attempts of one call, and records each with what the router knows of the endpoint and the workspace. */
import type { AnswerCheck } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import { sharedSegments } from '../shared-segments.ts';
import type { RouterState } from '../router-state.ts';
import { createWithheldError } from './attempt-errors.ts';
import type { AttemptPlanner } from './attempt-planner.ts';
import type { CallAdmission } from './call-admission.ts';
import { CallAttempt } from './call-attempt.ts';
import type { AttemptHandler } from './call-attempt.ts';
import type { CallHead } from './call-protocol.ts';
import type { CallReporter } from './call-reporter.ts';
import type { Placement } from './endpoint-evaluator.ts';
import type { StreamBinding } from './stream-binding.ts';

/** Options of an `AttemptSender`. */
export interface AttemptSenderOptions {
  state: RouterState;
  head: CallHead;
  pool: string;
  workspace: string | undefined;
  body: Buffer | undefined;
  binding: StreamBinding;
  handler: AttemptHandler;
  admission: CallAdmission;
  planner: AttemptPlanner;
  reporter: CallReporter;
  /** Monotonic time of the call's deadline, in ms. */
  deadlineAt: number;
}

/** Where and how an attempt is sent. */
export interface AttemptOptions {
  placement: Placement;
  check: AnswerCheck;
  /** Id of the event after which a stream goes on; undefined to send the request as the caller did. */
  resumeAfter: number | undefined;
}

/** Sends the attempts of one call. */
export class AttemptSender {
  private readonly options: AttemptSenderOptions;
  private sent = 0;

  constructor(options: AttemptSenderOptions) {
    this.options = options;
  }

  /** Attempts that reached, or may have reached, an endpoint. */
  get sentAttempts(): number {
    return this.sent;
  }

  /** Counts the latest attempt as unsent: it failed before it reached an endpoint. */
  uncount(): void {
    this.sent -= 1;
    this.options.planner.recordUnsent();
  }

  /** Sends an attempt; `onCreated` gets it before its request is written. */
  send(attemptOptions: AttemptOptions, onCreated: (attempt: CallAttempt) => void): void {
    const { state, head, body, binding, handler, planner, reporter } = this.options;
    const { placement, check } = attemptOptions;
    this.sent += 1;
    this.record(placement);
    const { prompt } = head;
    const kvCacheTokens = prompt === undefined ? 0 : prompt.inputTokens + prompt.outputTokens;
    const { clock } = state;
    const { budget } = state.listeners;
    const owner = this.options.workspace ?? '';
    const attempt = new CallAttempt({
      handler,
      placement,
      check,
      clock,
      kvCacheTokens,
      budget,
      owner,
    });
    onCreated(attempt);
    const headers = this.encode(attemptOptions);
    const { method, target, requestId } = head;
    reporter.recordSent(placement, this.sent, this.remainingMs());
    const { isBound } = binding;
    const isFurther = this.sent + planner.unsentAttempts > 1;
    const renew = (): string[] | RequestError => this.renew(attemptOptions, isFurther);
    const request = { method, target, requestId, headers, body, isBound, renew };
    attempt.request = placement.record.client.send(request, attempt);
  }

  /** The headers of an attempt that has waited, or why it may not be sent any more. */
  private renew(attemptOptions: AttemptOptions, isFurther: boolean): string[] | RequestError {
    if (this.remainingMs() <= 0) return createWithheldError('deadline');
    const { placement } = attemptOptions;
    const obstacle = this.options.planner.findSendObstacle(placement, isFurther);
    return obstacle === undefined ? this.encode(attemptOptions) : createWithheldError(obstacle);
  }

  private encode({ placement, resumeAfter }: AttemptOptions): string[] {
    const { state, head, workspace } = this.options;
    return state.protocol.encodeAttempt({
      call: head,
      endpoint: placement.record.endpoint,
      remainingMs: this.remainingMs(),
      workspace,
      resumeAfter,
      fetchFrom: placement.transfer?.source.address,
    });
  }

  /** Takes back what the workspace was granted for an attempt that no endpoint has run. */
  returnGrant(): void {
    const { state, head, workspace, admission } = this.options;
    if (workspace !== undefined && head.prompt !== undefined)
      state.shares.returnGrant(workspace, head.prompt, admission.isOverShare);
  }

  private remainingMs(): number {
    const { deadlineAt, state } = this.options;
    return deadlineAt - state.clock.monotonic();
  }

  private record(placement: Placement): void {
    const { state, head, workspace, pool, admission, planner } = this.options;
    const { prompt } = head;
    const { record, serviceMs } = placement;
    if (this.sent + planner.unsentAttempts === 1) {
      const now = state.clock.monotonic();
      state.pools.retryBudget(pool).recordRequest(state.countRouters(), now);
    }
    if (workspace !== undefined && prompt !== undefined)
      state.shares.recordGrant(workspace, prompt, admission.isOverShare);
    state.recordCached(record, sharedSegments(prompt), serviceMs);
    state.limits.recordSent(record);
    state.warmUps.recordSent(record);
  }
}
