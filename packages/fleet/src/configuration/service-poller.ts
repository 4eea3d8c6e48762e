/**
 * Polls the configuration service. A configuration reader uses long polling (watches); any other process
 * polls at the poll interval. Failures are retried with jittered exponential backoff.
 */
import { computePollIntervalMs } from '@poplarpick/decisions';
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger } from '@poplarpick/kernel';
import type { ConfigurationClient } from '../platform/configuration-client.ts';
import { ConfigurationMessageKind } from './configuration-task.ts';
import type { ConfigurationTask } from './configuration-task.ts';

const INITIAL_RETRY_DELAY_MS = 100;

/** Delay after a document that is not newer, so that a stale service is not polled in a tight loop. */
const STALE_ANSWER_DELAY_MS = 100;

/** Options of a `ServicePoller`. */
export interface ServicePollerOptions {
  client: ConfigurationClient;
  task: ConfigurationTask;
  clock: Clock;
  log: Logger;
  /** Whether this process is currently a configuration reader. */
  isReader: () => boolean;
  /** Estimated number of processes in the fleet. */
  countProcesses: () => number;
  /** Random number in [0, 1) for jitter. */
  random?: () => number;
}

/** Passes the documents of the service to the configuration task. */
export class ServicePoller {
  private readonly options: ServicePollerOptions;
  private readonly random: () => number;
  private readonly stopController = new AbortController();
  private failures = 0;

  constructor(options: ServicePollerOptions) {
    this.options = options;
    this.random = options.random ?? Math.random;
  }

  /** Polls the service until stopped. */
  async run(): Promise<void> {
    if (!this.options.isReader()) await this.pause(this.pollIntervalMs() * this.random());
    while (!this.stopController.signal.aborted) await this.runOnce();
  }

  stop(): void {
    this.stopController.abort();
  }

  private async runOnce(): Promise<void> {
    const isReader = this.options.isReader();
    try {
      await this.poll(isReader);
      this.failures = 0;
    } catch (error) {
      await this.backOff(error);
      return;
    }
    // Jitter of 0.5 to 1.5 intervals, so that processes that started together do not poll together.
    if (!isReader) await this.pause(this.pollIntervalMs() * (0.5 + this.random()));
  }

  private async poll(isReader: boolean): Promise<void> {
    const { client, task } = this.options;
    const { signal } = this.stopController;
    const after = task.highestReceivedRevision;
    const document = isReader
      ? await client.watch(after, signal)
      : await client.readNewer(after, signal);
    if (document === undefined) return;
    if (document.revision <= after) await this.pause(STALE_ANSWER_DELAY_MS);
    task.post({ kind: ConfigurationMessageKind.DocumentReceived, document, source: 'service' });
  }

  private async backOff(error: unknown): Promise<void> {
    if (this.stopController.signal.aborted) return;
    const { log } = this.options;
    log.warn({ event: 'configuration.service_unavailable', error: describeError(error) });
    const maxDelayMs = Math.min(this.pollIntervalMs(), INITIAL_RETRY_DELAY_MS * 2 ** this.failures);
    this.failures += 1;
    await this.pause(maxDelayMs * (0.5 + this.random()));
  }

  private pollIntervalMs(): number {
    return computePollIntervalMs(this.options.countProcesses());
  }

  private async pause(delayMs: number): Promise<void> {
    const { signal } = this.stopController;
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const timer = this.options.clock.after(delayMs, resolve);
      signal.addEventListener(
        'abort',
        () => {
          timer.stop();
          resolve();
        },
        { once: true },
      );
    });
  }
}
