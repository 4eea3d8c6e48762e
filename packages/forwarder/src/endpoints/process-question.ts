/**
 * Asks the process behind one connection when it started. Its answer is small and comes at once; it counts only if it
 * is complete, since a process that ends may break it off.
 */
import { ByteAccumulator } from '@poplarpick/decisions';
import { SystemClock } from '@poplarpick/kernel';
import type { Clock, Timer } from '@poplarpick/kernel';
import type { Dispatcher } from 'undici';
import type { CallProtocol } from '../calls/call-protocol.ts';
import type { EndpointHandler } from './endpoint-socket.ts';

/** Time in which the answer must be complete, in ms, including that for opening the connection. */
const ANSWER_TIMEOUT_MS = 600;

/** Largest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 262_144;

const MIN_FINAL_STATUS = 200;

/** What a process has told of itself. */
export interface ProcessAnswer {
  /** Start of the process in ms since the Unix epoch; undefined if it names none. */
  startedAt: number | undefined;
}

/** Options of a `ProcessQuestion`. */
export interface ProcessQuestionOptions {
  protocol: Pick<CallProtocol, 'decodeProcessStart'>;
  /** The clock of this host by default. */
  clock?: Clock;
  /** Called with each part of the answer. */
  onProgress: () => void;
  /** Called once, with the answer or with the reason why there is none. */
  onResult: (result: ProcessAnswer | Error) => void;
}

/** One question, as a handler of its answer. */
export class ProcessQuestion implements EndpointHandler {
  private readonly options: ProcessQuestionOptions;
  private readonly body = new ByteAccumulator();
  private readonly timer: Timer;
  private controller: Dispatcher.DispatchController | undefined;
  private timeoutError: Error | undefined;
  private isEnded = false;

  constructor(options: ProcessQuestionOptions) {
    this.options = options;
    const { clock = new SystemClock() } = options;
    this.timer = clock.afterPoll(ANSWER_TIMEOUT_MS, () => this.giveUp('no answer in time'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.timeoutError !== undefined) controller.abort(this.timeoutError);
    this.options.onProgress();
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    if (status >= MIN_FINAL_STATUS) this.options.onProgress();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.options.onProgress();
    this.body.push(chunk);
    if (this.body.length > MAX_ANSWER_BYTES) this.giveUp('the answer is too large');
  }

  onResponseEnd(): void {
    const { protocol } = this.options;
    this.end({ startedAt: protocol.decodeProcessStart(this.body.take()) });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.end(error);
  }

  onDispatchError(error: Error): void {
    this.end(error);
  }

  /** Ends the question. Before the connection is open it can't be aborted, and its result is final at once. */
  private giveUp(reason: string): void {
    this.timeoutError = new Error(reason);
    if (this.controller === undefined) this.end(this.timeoutError);
    else this.controller.abort(this.timeoutError);
  }

  private end(result: ProcessAnswer | Error): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.timer.stop();
    this.options.onResult(result);
  }
}
