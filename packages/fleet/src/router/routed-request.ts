/** One request as its router knows it, from its arrival to its end. */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { QueueEntry, QueueLine } from '@poplarpick/decisions';
import type { End, Frame, Job } from '../messages.ts';
import type { AnswerSink } from './answer-sink.ts';

/** Where a request stands. */
export enum RequestPhase {
  Queued = 'queued',
  /** Granted to a sidecar, which may or may not have received it. */
  HandedOver = 'handed-over',
  Ended = 'ended',
}

/** The sidecar to which a request is granted. */
export interface Holder {
  host: string;
  incarnation: string;
}

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
export enum EndCheck {
  Whole = 'whole',
  /** Frames are missing or differ. */
  Damaged = 'damaged',
}

/** State of one request in its router. */
export class RoutedRequest implements QueueEntry {
  readonly id: string;
  readonly line: QueueLine;
  readonly job: Job;
  readonly sink: AnswerSink;
  /** Monotonic time of the arrival. */
  readonly arrivedAt: number;
  /** Monotonic time of the caller's deadline. */
  readonly deadlineAt: number;
  phase = RequestPhase.Queued;
  holder: Holder | undefined;
  attempt = 0;
  /** Frames of this attempt that arrived in order. */
  frames = 0;
  /** Whether a frame has reached the caller. */
  delivered = false;
  private bytes = 0;
  private hash: Hash = createHash('sha256');

  constructor(submission: Submission, now: number) {
    this.id = submission.id;
    this.job = submission.job;
    this.sink = submission.sink;
    this.line = {
      pool: submission.job.pool,
      workspace: submission.job.workspace,
      pin: submission.pin,
    };
    this.arrivedAt = now;
    this.deadlineAt = now + submission.deadlineMs;
  }

  /** Hands the request to a sidecar as a new attempt. */
  grantTo(holder: Holder): void {
    this.phase = RequestPhase.HandedOver;
    this.holder = holder;
    this.attempt += 1;
    this.frames = 0;
    this.bytes = 0;
    this.hash = createHash('sha256');
  }

  /** Takes a frame if it is the next of this attempt; says whether it was. */
  accept(frame: Frame): boolean {
    if (this.phase !== RequestPhase.HandedOver || frame.attempt !== this.attempt) return false;
    if (frame.sequence !== this.frames) return false;
    this.frames += 1;
    this.bytes += frame.data.length;
    this.hash.update(frame.data);
    this.delivered = true;
    return true;
  }

  /** Compares an end with what has arrived. */
  check(end: End): EndCheck {
    if (end.frames !== this.frames || end.bytes !== this.bytes) return EndCheck.Damaged;
    return end.digest === this.hash.copy().digest('hex') ? EndCheck.Whole : EndCheck.Damaged;
  }
}
