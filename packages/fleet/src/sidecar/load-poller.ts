/** Polls the load report of the endpoint beside the sidecar. */
import { describeError } from '@poplarpick/kernel';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { Agent, request } from 'undici';
import { z } from 'zod';
import { ONE_REQUEST_PER_CONNECTION } from '../engine-connections.ts';
import { readBoundedJson, SMALL_ANSWER_BYTES } from '../bounded-body.ts';

/** Time between two polls. */
const POLL_INTERVAL_MS = 200;

const POLL_TIMEOUT_MS = 1_000;

/** Time for the whole answer, which may come a little at a time, in ms. */
const ANSWER_TIMEOUT_MS = 2 * POLL_TIMEOUT_MS;

const loadReport = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  stepMs: z.number().nonnegative(),
});

/** Load as reported by the endpoint. It lags behind the actual load. */
export type LoadReport = z.output<typeof loadReport>;

/** Options of a `LoadPoller`. */
export interface LoadPollerOptions {
  /** Base URL of the endpoint. */
  url: string;
  clock: Clock;
  log: Logger;
  onReport: (report: LoadReport) => void;
}

/** Polls the report until stopped. Of consecutive failures, only the first is logged. */
export class LoadPoller {
  private readonly options: LoadPollerOptions;
  private readonly agent = new Agent({
    headersTimeout: POLL_TIMEOUT_MS,
    bodyTimeout: POLL_TIMEOUT_MS,
    ...ONE_REQUEST_PER_CONNECTION,
  });
  private readonly timer: Timer;
  private isPolling = false;
  private isFailing = false;

  constructor(options: LoadPollerOptions) {
    this.options = options;
    this.timer = options.clock.every(POLL_INTERVAL_MS, () => void this.poll());
  }

  async stop(): Promise<void> {
    this.timer.stop();
    await this.agent.destroy();
  }

  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    try {
      const url = `${this.options.url.replace(/\/$/, '')}/v1/load`;
      const { statusCode, body } = await request(url, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const report = await readBoundedJson(body, SMALL_ANSWER_BYTES);
      if (statusCode !== 200) throw new Error(`the endpoint answered ${statusCode}`);
      this.options.onReport(loadReport.parse(report));
      this.isFailing = false;
    } catch (error) {
      this.recordFailure(error);
    } finally {
      this.isPolling = false;
    }
  }

  private recordFailure(error: unknown): void {
    if (!this.isFailing) {
      this.options.log.warn({ event: 'endpoint.load_unknown', error: describeError(error) });
    }
    this.isFailing = true;
  }
}
