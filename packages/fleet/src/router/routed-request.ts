/** State of one request in its router, from submission to completion. */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import {
  createRequestState,
  grantAttempt,
  isCurrentAttempt,
  markDelivered,
} from '@poplarpick/decisions';
import type { SidecarInstance, QueueEntry, QueueKey, RequestState } from '@poplarpick/decisions';
import type { AnswerEnd, AnswerFrame, Job } from '../messages.ts';
import type { AnswerSink } from './answer-sink.ts';

/** A request as the callers' HTTP interface submits it to the dispatcher. */
export interface Submission {
  /** UUIDv7. */
  id: string;
  job: Job;
  /** Name of the only endpoint that may run the request; undefined if any may. */
  pin?: string | undefined;
  deadlineMs: number;
  sink: AnswerSink;
}

/** Result of checking the received frames against the count and digest in the end message. */
export enum AnswerIntegrity {
  Intact = 'whole',
  /** Frames are missing or differ. */
  Corrupt = 'damaged',
}

/** An open request: its place in the queues, its state and what has arrived of its answer. */
export class RoutedRequest implements QueueEntry {
  readonly id: string;
  readonly queueKey: QueueKey;
  readonly job: Job;
  readonly sink: AnswerSink;
  /** Monotonic time of submission. */
  readonly arrivedAt: number;
  /** Monotonic time of the caller's deadline. */
  readonly deadlineAt: number;
  state: RequestState;
  /** Monotonic time of the latest grant. */
  grantedAt = 0;
  /** Number of frames of the current attempt that were received in order. */
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

  /** Number of the current attempt; 0 before the first grant. */
  get attempt(): number {
    return this.state.attempt;
  }

  /** The sidecar to which the request is granted; undefined while it is queued. */
  get sidecar(): SidecarInstance | undefined {
    return this.state.sidecar;
  }

  /** Grants the request to a sidecar as a new attempt and resets the received data. */
  grantTo(sidecar: SidecarInstance, now: number): void {
    this.state = grantAttempt(this.state, sidecar);
    this.grantedAt = now;
    this.receivedFrames = 0;
    this.receivedBytes = 0;
    this.receivedHash = createHash('sha256');
  }

  /** Whether a message from `sender` about `attempt` concerns the current attempt. */
  isCurrentAttempt(sender: SidecarInstance, attempt: number): boolean {
    return isCurrentAttempt(this.state, sender, attempt);
  }

  /** Records a frame of the current attempt. Returns false if it is not the next one in sequence. */
  acceptFrame(frame: AnswerFrame): boolean {
    if (frame.sequence !== this.receivedFrames) return false;
    this.receivedFrames += 1;
    this.receivedBytes += frame.data.length;
    this.receivedHash.update(frame.data);
    this.state = markDelivered(this.state);
    return true;
  }

  /** Checks the received frames against the frame count, byte count and digest of the end message. */
  verifyAnswer(end: AnswerEnd): AnswerIntegrity {
    if (end.frames !== this.receivedFrames || end.bytes !== this.receivedBytes)
      return AnswerIntegrity.Corrupt;
    return end.digest === this.receivedHash.copy().digest('hex')
      ? AnswerIntegrity.Intact
      : AnswerIntegrity.Corrupt;
  }
}
