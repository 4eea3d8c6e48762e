/** Ends one call: sends its final response if one is due, and records once how it ended. */
import { RequestError, Verdict } from '@poplarpick/kernel';
import type { ErrorCode } from '@poplarpick/kernel';
import type { AttemptPlanner } from './attempt-planner.ts';
import type { AttemptSender } from './attempt-sender.ts';
import type { CallAdmission } from './call-admission.ts';
import type { CallLatencyRecorder } from './call-latency-recorder.ts';
import type { CallReporter } from './call-reporter.ts';
import type { CallResponse } from './call-response.ts';
import type { Placement } from './endpoint-evaluator.ts';

/** How far a call has come. */
export interface CallProgress {
  /** The latest placement. */
  placement: Placement | undefined;
  /** Monotonic time of the first event, in ms. */
  firstEventAt: number | undefined;
}

/** Options of a `CallEnding`. */
export interface CallEndingOptions {
  response: CallResponse;
  admission: CallAdmission;
  planner: AttemptPlanner;
  sender: AttemptSender;
  reporter: CallReporter;
  latencyRecorder: CallLatencyRecorder;
  readProgress: () => CallProgress;
  /** Called once, when the call has ended. */
  onEnded: () => void;
}

/** The end of one call. */
export class CallEnding {
  private readonly options: CallEndingOptions;
  private hasEnded = false;

  constructor(options: CallEndingOptions) {
    this.options = options;
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Ends the call with a response that tells that the request hasn't run. */
  refuse(error: RequestError): void {
    const { admission, response } = this.options;
    admission.recordRefusal(error);
    response.sendError(error);
    this.record('refused', error.message);
    this.close();
  }

  /** Ends the call with a response that promises nothing. */
  fail(reason: string, code: ErrorCode): void {
    const error = new RequestError(reason, { code, verdict: Verdict.MayHaveRun });
    this.options.response.sendError(error);
    this.record('failed', reason);
    this.close();
  }

  /** Breaks a response off that has begun. */
  breakOff(reason: string): void {
    this.record('cut', reason);
    this.close();
    this.options.response.abort();
  }

  /** Ends the call without a further response. */
  finish(outcome: string): void {
    this.record(outcome);
    this.close();
  }

  private close(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.options.onEnded();
  }

  private record(outcome: string, reason?: string): void {
    const { response, admission, planner, sender, reporter, latencyRecorder } = this.options;
    reporter.recordEnd({
      outcome,
      reason,
      ...this.options.readProgress(),
      shareUsage: admission.shareUsage,
      isCallerRetry: admission.isCallerRetry,
      attempts: sender.sentAttempts,
      retryObstacle: planner.obstacle,
      lastEventId: response.sentEventId,
      wasFramed: response.wasFramed,
      longestPauseMs: latencyRecorder.longestPauseMs,
    });
  }
}
