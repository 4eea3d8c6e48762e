/** Log events and metrics for the state changes of a router's requests. */
import type { AttemptLoss } from '@poplarpick/decisions';
import { Metric, RepairKind, reportRepair } from '@poplarpick/kernel';
import type { Logger, Metrics, RequestError } from '@poplarpick/kernel';
import type { AnswerEnd } from '../messages.ts';
import type { RoutedRequest } from './routed-request.ts';

/** Options of a `RequestTelemetry`. */
export interface RequestTelemetryOptions {
  log: Logger;
  metrics: Metrics;
}

/** Records each state change of a request as a log event, a metric or both. Times are monotonic. */
export class RequestTelemetry {
  private readonly log: Logger;
  private readonly metrics: Metrics;

  constructor({ log, metrics }: RequestTelemetryOptions) {
    this.log = log;
    this.metrics = metrics;
  }

  recordGrant({ id, attempt, arrivedAt }: RoutedRequest, sidecar: string, now: number): void {
    const waitedMs = now - arrivedAt;
    this.metrics.timing(Metric.QueueMs, waitedMs);
    const waited_ms = Math.round(waitedMs);
    this.log.debug({ event: 'request.granted', request: id, sidecar, attempt, waited_ms });
  }

  recordFirstToken({ arrivedAt }: RoutedRequest, now: number): void {
    this.metrics.timing(Metric.FirstTokenMs, now - arrivedAt);
  }

  recordFinish(request: RoutedRequest, sidecar: string, { cost }: AnswerEnd, now: number): void {
    const { workspace, pool } = request.queueKey;
    this.metrics.increment(Metric.Requests, 1, { workspace });
    this.log.info({
      event: 'request.finished',
      request: request.id,
      workspace,
      pool,
      sidecar,
      attempt: request.attempt,
      ms: Math.round(now - request.arrivedAt),
      cost,
    });
  }

  recordFailure({ id, queueKey }: RoutedRequest, { code, verdict }: RequestError): void {
    const { workspace } = queueKey;
    this.metrics.increment(Metric.RequestsFailed, 1, { code, verdict });
    this.log.info({ event: 'request.failed', request: id, workspace, code, verdict });
  }

  recordAbandon({ id }: RoutedRequest): void {
    this.log.info({ event: 'request.abandoned', request: id });
  }

  recordRetry({ id, attempt }: RoutedRequest, loss: AttemptLoss): void {
    this.log.info({ event: 'request.retried', request: id, attempt, loss });
  }

  recordRequeue({ id, attempt }: RoutedRequest, loss: AttemptLoss): void {
    const { log, metrics } = this;
    log.info({ event: 'request.requeued', request: id, attempt, loss });
    reportRepair({ log, metrics }, { kind: RepairKind.RequestRequeued, cause: loss, subject: id });
  }
}
