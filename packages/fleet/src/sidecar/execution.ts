/** The execution of one granted request: its run at the endpoint and the frames of its answer. */
import { createHash } from 'node:crypto';
import type { ServiceCharge } from '@poplarpick/decisions';
import type { RequestError } from '@poplarpick/kernel';
import type { AnswerEnd, AnswerFrame, Grant } from '../messages.ts';
import type { Run } from './endpoint-client.ts';

/** A granted request that is running or has ended. */
export class Execution {
  readonly grant: Grant;
  /** Host of the router that granted it. */
  readonly router: string;
  /** Incarnation of that router. */
  readonly routerIncarnation: string;
  /** Monotonic time of the caller's deadline. */
  readonly deadlineAt: number;
  run: Run | undefined;
  /** Charge to the workspace, once the run has started. */
  charge: ServiceCharge | undefined;
  /** The end of the answer, once there is one. */
  end: AnswerEnd | undefined;
  /** Monotonic time of the end. */
  endedAt = 0;
  /** Cost so far, in the pool's cost unit. */
  cost = 0;
  /** Duplicates with the same idempotency key, which receive the same answer. */
  readonly followers: Execution[] = [];
  private readonly frames: AnswerFrame[] = [];
  private readonly hash = createHash('sha256');
  private bytes = 0;

  constructor(grant: Grant, router: string, routerIncarnation: string, deadlineAt: number) {
    this.grant = grant;
    this.router = router;
    this.routerIncarnation = routerIncarnation;
    this.deadlineAt = deadlineAt;
  }

  get id(): string {
    return this.grant.request;
  }

  /** Size of the answer so far. */
  get answerBytes(): number {
    return this.bytes;
  }

  /** Appends data to the answer and returns it as a frame. */
  appendFrame(data: Buffer, cost: number): AnswerFrame {
    const frame = {
      request: this.id,
      attempt: this.grant.attempt,
      sequence: this.frames.length,
      data,
    };
    this.frames.push(frame);
    this.hash.update(data);
    this.bytes += data.length;
    this.cost += cost;
    return frame;
  }

  /** Ends the answer, either complete or with a failure. */
  finish(now: number, cost: number, error?: RequestError): AnswerEnd {
    this.cost += cost;
    this.endedAt = now;
    this.end = {
      request: this.id,
      attempt: this.grant.attempt,
      frames: this.frames.length,
      bytes: this.bytes,
      digest: this.hash.copy().digest('hex'),
      cost: this.cost,
      failure: error === undefined ? undefined : toEndFailure(error),
    };
    return this.end;
  }

  /** Makes a duplicate receive this answer. Returns the frames so far, copied for the duplicate. */
  attachFollower(follower: Execution): AnswerFrame[] {
    if (this.end === undefined) this.followers.push(follower);
    return this.frames.map(({ data }) => follower.appendFrame(Buffer.from(data), 0));
  }

  /** Ends the answer in the same way as that of `leader`. */
  finishWithEndOf(leader: Execution, now: number): AnswerEnd {
    const end = this.finish(now, 0);
    this.end = { ...end, failure: leader.end?.failure };
    return this.end;
  }

  /** Frames starting at a sequence number. */
  framesFrom(sequence: number): AnswerFrame[] {
    return this.frames.slice(sequence);
  }
}

function toEndFailure(error: RequestError): AnswerEnd['failure'] {
  const { code, verdict, message, retryAfterSeconds } = error;
  return { code, verdict, message, retryAfterSeconds };
}
