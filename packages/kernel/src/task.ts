/**
 * Actor-style tasks. A task owns its state and sockets and is reached only through messages. It
 * handles one message at a time, in order of arrival, so its state needs no locks.
 */
import type { Logger } from './log.ts';

/** A unit of concurrency with a mailbox. */
export abstract class Task<Message> {
  readonly name: string;
  protected readonly log: Logger;
  private readonly mailbox: Message[] = [];
  private busy = false;
  private stopped = false;

  constructor(name: string, log: Logger) {
    this.name = name;
    this.log = log;
  }

  /** Handles one message. Must not block; long work reports its result in a later message. */
  protected abstract handle(message: Message): void;

  /** Queues a message and handles it unless one is being handled. A stopped task drops it. */
  post(message: Message): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (!this.busy) this.drainMailbox();
  }

  /** Stops the task. Queued and later messages are dropped. */
  stop(): void {
    this.stopped = true;
    this.mailbox.length = 0;
  }

  protected get isStopped(): boolean {
    return this.stopped;
  }

  private drainMailbox(): void {
    this.busy = true;
    for (
      let message = this.mailbox.shift();
      message !== undefined;
      message = this.mailbox.shift()
    ) {
      try {
        this.handle(message);
      } catch (error) {
        this.log.error({ event: 'task.failed', task: this.name, error: describeError(error) });
      }
    }
    this.busy = false;
  }
}

/** Returns the stack or message of a thrown value, for a log line. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.stack ?? error.message;
}
