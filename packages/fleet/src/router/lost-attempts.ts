/**
 * Decides what becomes of a request whose attempt at a sidecar failed or was lost: it is queued again, at once or after
 * a delay, or it fails. Further attempts that may repeat work come out of a retry budget.
 */
import {
  AttemptLoss,
  computeRetryDelayMs,
  LossAction,
  RetryBudget,
  settleLostAttempt,
} from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import type { Clock, RequestError } from '@poplarpick/kernel';
import { createConnectionLostError } from './dispatch-errors.ts';
import type { RequestTelemetry } from './request-telemetry.ts';
import type { RoutedRequest } from './routed-request.ts';

/** Options of `LostAttempts`. */
export interface LostAttemptsOptions {
  clock: Clock;
  telemetry: RequestTelemetry;
  /** Queues a request again once its delay has passed. */
  onRetryDue: (request: RoutedRequest) => void;
}

/** Settles lost attempts. */
export class LostAttempts {
  private readonly options: LostAttemptsOptions;
  private readonly retryBudget = new RetryBudget();

  constructor(options: LostAttemptsOptions) {
    this.options = options;
  }

  /** Records a new request, from which the retry budget grows. */
  recordRequest(): void {
    this.retryBudget.recordRequest();
  }

  /**
   * Schedules a retry of a request whose endpoint failed. Returns false if the request must not run
   * again, has used all its attempts, would miss its deadline, or if the retry budget is exhausted.
   */
  tryScheduleRetry(request: RoutedRequest, verdict: Verdict): boolean {
    const { clock, telemetry, onRetryDue } = this.options;
    if (verdict === Verdict.Ran) return false;
    const loss = verdict === Verdict.NotRun ? AttemptLoss.NeverStarted : AttemptLoss.EndpointFailed;
    if (settleLostAttempt(request.state, loss).decision.action === LossAction.Fail) return false;
    const delayMs = computeRetryDelayMs(request.attempt, Math.random());
    if (clock.monotonic() + delayMs >= request.deadlineAt || !this.retryBudget.tryAcquire())
      return false;
    request.state = settleLostAttempt(request.state, loss).state;
    telemetry.recordRetry(request, loss);
    clock.after(delayMs, () => onRetryDue(request));
    return true;
  }

  /** Settles an attempt whose sidecar is lost. Returns why the request fails; undefined if it is queued again. */
  settle(request: RoutedRequest, loss: AttemptLoss): RequestError | undefined {
    const { decision } = settleLostAttempt(request.state, loss);
    const needsRetryBudget =
      decision.verdict !== Verdict.NotRun && decision.action === LossAction.Requeue;
    const hasBudget = !needsRetryBudget || this.retryBudget.tryAcquire();
    const settled = settleLostAttempt(request.state, loss, hasBudget);
    request.state = settled.state;
    if (settled.decision.action === LossAction.Fail)
      return createConnectionLostError(settled.decision);
    this.options.telemetry.recordRequeue(request, loss);
    return undefined;
  }
}
