/**
 * Records requests on their way from a caller's connection to the dispatcher: logs the submission and
 * wraps the answer sink to measure the service levels of the workspace.
 */
import { EndpointKind } from '@poplarpick/decisions';
import type { FleetConfiguration } from '@poplarpick/decisions';
import { Verdict } from '@poplarpick/kernel';
import type { Clock, Logger, RequestError } from '@poplarpick/kernel';
import type { AnswerEnd } from '../messages.ts';
import { AnswerSink } from '../router/answer-sink.ts';
import type { Submission } from '../router/routed-request.ts';
import type { ServiceLevelMeter } from './service-level-meter.ts';

/** Options of a `RequestRecorder`. */
export interface RequestRecorderOptions {
  meter: ServiceLevelMeter;
  clock: Clock;
  log: Logger;
}

/** Logs submitted requests and measures their answers. */
export class RequestRecorder {
  private readonly options: RequestRecorderOptions;

  constructor(options: RequestRecorderOptions) {
    this.options = options;
  }

  /** Logs a submission and returns it with its sink wrapped in a `MeasuredSink`. */
  record(submission: Submission, configuration: FleetConfiguration): Submission {
    const { id, job, pin, deadlineMs, sink } = submission;
    this.options.log.debug({
      event: 'request.queued',
      request: id,
      workspace: job.workspace,
      pool: job.pool,
      pinned_to: pin,
      repeatable: job.repeatable,
      deadline_ms: deadlineMs,
      cost_hint: job.costHint,
      revision: configuration.revision,
      preset: configuration.preset,
    });
    const { meter, clock } = this.options;
    const measured = new MeasuredSink({
      sink,
      meter,
      clock,
      workspace: job.workspace,
      framesAreTokens: job.kind === EndpointKind.Model,
    });
    return { ...submission, sink: measured };
  }
}

/** Options of a `MeasuredSink`. */
export interface MeasuredSinkOptions {
  sink: AnswerSink;
  meter: ServiceLevelMeter;
  clock: Clock;
  workspace: string;
  /** Whether each frame of the answer is a token; if so, token times are measured. */
  framesAreTokens: boolean;
}

/** Forwards an answer to another sink and measures it. */
export class MeasuredSink extends AnswerSink {
  private readonly options: MeasuredSinkOptions;
  private readonly startedAt: number;
  private lastTokenAt: number | undefined;

  constructor(options: MeasuredSinkOptions) {
    super();
    this.options = options;
    this.startedAt = options.clock.monotonic();
  }

  override deliver(data: Buffer): void {
    if (this.options.framesAreTokens) this.recordToken();
    this.options.sink.deliver(data);
  }

  override finish(end: AnswerEnd): void {
    const { meter, workspace, sink } = this.options;
    meter.recordRefusal(workspace, false);
    meter.recordCompletion(workspace, true);
    sink.finish(end);
  }

  override fail(error: RequestError): void {
    const { meter, workspace, sink } = this.options;
    const refused = error.verdict === Verdict.NotRun;
    meter.recordRefusal(workspace, refused);
    if (!refused) meter.recordCompletion(workspace, false);
    sink.fail(error);
  }

  private recordToken(): void {
    const { meter, workspace, clock } = this.options;
    const now = clock.monotonic();
    if (this.lastTokenAt === undefined) meter.recordFirstToken(workspace, now - this.startedAt);
    else meter.recordTokenGap(workspace, now - this.lastTokenAt);
    this.lastTokenAt = now;
  }
}
