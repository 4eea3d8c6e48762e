/**
 * Admission control for the queues of a router. Each workspace may queue a limited number of requests
 * in each router. A request over the limit, or one that at the current drain rate would not start
 * before its deadline, is rejected at once with the verdict `not-run` and a `Retry-After` time.
 */
import {
  computeQueueFullRetryAfter,
  computeDeadlineRetryAfter,
  DrainRate,
} from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { DEADLINE_HEADER } from '../callers/request-headers.ts';

/** A request that is to be queued. */
export interface QueueCandidate {
  workspace: string;
  /** Number of the workspace's requests that are queued in this router. */
  queuedRequests: number;
  deadlineMs: number;
  now: number;
}

/** Decides whether a request may enter the queues of one router. */
export class QueueAdmission {
  private queueLimits = new Map<string, number>();
  private readonly drainRates = new Map<string, DrainRate>();

  configure(configuration: FleetConfiguration): void {
    this.queueLimits = new Map(
      configuration.workspaces.map((workspace) => [workspace.name, workspace.queue_limit]),
    );
  }

  /** Returns the error with which to reject a request, or undefined if it may be queued. */
  check(candidate: QueueCandidate): RequestError | undefined {
    const { workspace, queuedRequests, deadlineMs, now } = candidate;
    const limit = this.queueLimits.get(workspace) ?? 0;
    const rate = this.getDrainRate(workspace);
    if (queuedRequests >= limit)
      return createQueueFullError(
        limit,
        computeQueueFullRetryAfter(queuedRequests, rate.perSecond(now)),
      );
    const waitMs = rate.estimateWaitMs(queuedRequests, now);
    if (waitMs === undefined || waitMs <= deadlineMs) return undefined;
    return createWaitTooLongError(waitMs, deadlineMs);
  }

  /** Records that a request was queued. */
  recordQueued(workspace: string, now: number): void {
    this.getDrainRate(workspace).start(now);
  }

  /** Records that a request was granted and `remaining` requests of its workspace are still queued. */
  recordGranted(workspace: string, remaining: number, now: number): void {
    const rate = this.getDrainRate(workspace);
    if (remaining === 0) rate.reset();
    else rate.recordDeparture(now);
  }

  private getDrainRate(workspace: string): DrainRate {
    const rate = this.drainRates.get(workspace) ?? new DrainRate();
    this.drainRates.set(workspace, rate);
    return rate;
  }
}

function createQueueFullError(limit: number, retryAfterSeconds: number): RequestError {
  return new RequestError(`workspace has ${limit} requests waiting in this router`, {
    code: ErrorCode.QueueFull,
    verdict: Verdict.NotRun,
    retryAfterSeconds,
    limit: 'queue_limit',
  });
}

function createWaitTooLongError(waitMs: number, deadlineMs: number): RequestError {
  const message = `about ${Math.ceil(waitMs)} ms of work of the workspace wait before the request, more than its deadline of ${deadlineMs} ms`;
  return new RequestError(message, {
    code: ErrorCode.QueueFull,
    verdict: Verdict.NotRun,
    retryAfterSeconds: computeDeadlineRetryAfter(waitMs, deadlineMs),
    limit: DEADLINE_HEADER,
  });
}
