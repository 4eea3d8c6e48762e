/**
 * Whether a router takes a request into its queues. A workspace has a limited number of waiting
 * requests in each router; what is over it, or would not start before its deadline as fast as the
 * queue drains, is refused at once with the verdict not-run and the time after which to come back.
 */
import {
  computeQueueFullRetryAfter,
  computeDeadlineRetryAfter,
  DrainRate,
} from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { DEADLINE_HEADER } from '../callers/request-headers.ts';

/** A request that asks to be queued. */
export interface QueueCandidate {
  workspace: string;
  /** Requests of the workspace that wait in this router. */
  queuedRequests: number;
  deadlineMs: number;
  now: number;
}

/** Guards the queues of one router. */
export class QueueAdmission {
  private queueLimits = new Map<string, number>();
  private readonly drainRates = new Map<string, DrainRate>();

  configure(configuration: FleetConfiguration): void {
    this.queueLimits = new Map(
      configuration.workspaces.map((workspace) => [workspace.name, workspace.queue_limit]),
    );
  }

  /** The error to refuse a request with, or undefined where it may be queued. */
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

  /** Notes that a request waits. */
  recordQueued(workspace: string, now: number): void {
    this.getDrainRate(workspace).start(now);
  }

  /** Notes that a request was granted, and how many of its workspace still wait. */
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
