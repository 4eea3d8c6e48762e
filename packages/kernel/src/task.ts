/**
 * Tasks own their state and sockets and are reached only through messages. A task handles one
 * message at a time, in the order of arrival, so its state needs no locks.
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

  /** Handles one message. Must not block; long work answers by a later message. */
  protected abstract handle(message: Message): void;

  /** Delivers a message. Messages to a stopped task are dropped. */
  post(message: Message): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (!this.busy) this.drainMailbox();
  }

  /** Stops the task; later messages are dropped. */
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

/** The stack or message of anything thrown, for a log line. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.stack ?? error.message;
}
