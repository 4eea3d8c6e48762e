/** One request as its router knows it, from its arrival to its end. */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import {
  createRequestState,
  grantAttempt,
  isCurrentAttempt,
  markDelivered,
} from '@poplarpick/decisions';
import type { SidecarInstance, QueueEntry, QueueKey, RequestState } from '@poplarpick/decisions';
import type { End, Frame, Job } from '../messages.ts';
import type { AnswerSink } from './answer-sink.ts';

/** A request that a caller's connection submits. */
export interface Submission {
  /** UUIDv7. */
  id: string;
  job: Job;
  /** Name of the only endpoint that may run it. */
  pin?: string | undefined;
  deadlineMs: number;
  sink: AnswerSink;
}

/** Result of checking an end against the frames that arrived. */
export enum AnswerIntegrity {
  Intact = 'whole',
  /** Frames are missing or differ. */
  Corrupt = 'damaged',
}

/** State of one request in its router. */
export class RoutedRequest implements QueueEntry {
  readonly id: string;
  readonly queueKey: QueueKey;
  readonly job: Job;
  readonly sink: AnswerSink;
  /** Monotonic time of the arrival. */
  readonly arrivedAt: number;
  /** Monotonic time of the caller's deadline. */
  readonly deadlineAt: number;
  state: RequestState;
  /** Monotonic time of the latest grant. */
  grantedAt = 0;
  /** Frames of this attempt that arrived in order. */
  receivedFrames = 0;
  private receivedBytes = 0;
  private receivedHash: Hash = createHash('sha256');

  constructor(submission: Submission, now: number) {
    this.id = submission.id;
    this.job = submission.job;
    this.sink = submission.sink;
    this.queueKey = {
      pool: submission.job.pool,
      workspace: submission.job.workspace,
      pin: submission.pin,
    };
    this.state = createRequestState(submission.job.repeatable);
    this.arrivedAt = now;
    this.deadlineAt = now + submission.deadlineMs;
  }

  /** Counts the grants so far. */
  get attempt(): number {
    return this.state.attempt;
  }

  /** The sidecar that has the request. */
  get sidecar(): SidecarInstance | undefined {
    return this.state.sidecar;
  }

  /** Hands the request to a sidecar as a new attempt. */
  grantTo(sidecar: SidecarInstance, now: number): void {
    this.state = grantAttempt(this.state, sidecar);
    this.grantedAt = now;
    this.receivedFrames = 0;
    this.receivedBytes = 0;
    this.receivedHash = createHash('sha256');
  }

  /** Whether a message of a sidecar is about the current attempt. */
  isCurrentAttempt(sender: SidecarInstance, attempt: number): boolean {
    return isCurrentAttempt(this.state, sender, attempt);
  }

  /** Takes a frame of the current attempt if it is the next; says whether it was. */
  acceptFrame(frame: Frame): boolean {
    if (frame.sequence !== this.receivedFrames) return false;
    this.receivedFrames += 1;
    this.receivedBytes += frame.data.length;
    this.receivedHash.update(frame.data);
    this.state = markDelivered(this.state);
    return true;
  }

  /** Compares an end with what has arrived. */
  verifyAnswer(end: End): AnswerIntegrity {
    if (end.frames !== this.receivedFrames || end.bytes !== this.receivedBytes)
      return AnswerIntegrity.Corrupt;
    return end.digest === this.receivedHash.copy().digest('hex')
      ? AnswerIntegrity.Intact
      : AnswerIntegrity.Corrupt;
  }
}
