/**
 * Ordinary callers beside a crowd: requests at a steady rate, each on a new connection, which come again after a promise as
 * the pages say. Counts how they end, and checks each promise against what the engine has run.
 */
import type { CrowdHead } from './crowd.ts';
import type { CrowdTarget } from './crowd-player.ts';
import { sendOnce, PROMISES } from './ordinary-caller.ts';

const MS_PER_SECOND = 1_000;
/** Tries of one request, the first included. */
const MAX_TRIES = 3;
/** Time that one request has, in ms. */
const DEADLINE_MS = 5_000;

/** Options of an `OrdinaryLoad`. */
export interface OrdinaryLoadOptions {
  target: CrowdTarget;
  /** Head of a request; each try gets an id of its own. */
  head: CrowdHead;
  body: string;
  perSecond: number;
  /** Whether a try has run at an engine. */
  hasRun: (id: string) => boolean;
}

/** How the requests have ended. */
export interface OrdinaryResult {
  requests: number;
  /** Answered with 200, and how many of them at the first try. */
  answered: number;
  answeredAtOnce: number;
  /** The last try got a promise that it has not run. */
  refused: number;
  /** There was no whole answer. */
  failed: number;
  /** Tries that got such a promise and ran. */
  brokenPromises: number;
  medianMs: number;
  slowestMs: number;
}

/** Ordinary callers of one router. */
export class OrdinaryLoad {
  private readonly options: OrdinaryLoadOptions;
  private readonly promised: string[] = [];
  private readonly durations: number[] = [];
  private readonly open = new Set<Promise<void>>();
  private readonly timer: NodeJS.Timeout;
  private count = 0;
  private answeredAtOnce = 0;
  private refused = 0;
  private failed = 0;

  private constructor(options: OrdinaryLoadOptions) {
    this.options = options;
    this.timer = setInterval(() => this.add(), MS_PER_SECOND / options.perSecond);
  }

  static start(options: OrdinaryLoadOptions): OrdinaryLoad {
    return new OrdinaryLoad(options);
  }

  /** Sends no more requests, and resolves when all have ended. */
  async stop(): Promise<OrdinaryResult> {
    clearInterval(this.timer);
    await Promise.all(this.open);
    const sorted = [...this.durations].sort((a, b) => a - b);
    return {
      requests: this.count,
      answered: sorted.length,
      answeredAtOnce: this.answeredAtOnce,
      refused: this.refused,
      failed: this.failed,
      brokenPromises: this.promised.filter((id) => this.options.hasRun(id)).length,
      medianMs: Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0),
      slowestMs: Math.round(sorted.at(-1) ?? 0),
    };
  }

  private add(): void {
    this.count += 1;
    const request = this.send(this.count).finally(() => this.open.delete(request));
    this.open.add(request);
  }

  private async send(number: number): Promise<void> {
    const startedAt = performance.now();
    const deadlineAt = startedAt + DEADLINE_MS;
    for (let attempt = 1; attempt <= MAX_TRIES; attempt += 1) {
      const id = `ordinary-${number}-${attempt}`;
      const { head, target, body } = this.options;
      const leftMs = Math.floor(deadlineAt - performance.now());
      const headers = { ...head.headers, 'Attempt-Id': id, 'Deadline-Ms': String(leftMs) };
      const answer = await sendOnce(target, { ...head, headers }, body).catch(() => undefined);
      if (answer?.status === 200) {
        this.durations.push(performance.now() - startedAt);
        if (attempt === 1) this.answeredAtOnce += 1;
        return;
      }
      if (answer === undefined || !PROMISES.has(answer.status)) {
        this.failed += 1;
        return;
      }
      this.promised.push(id);
      const waitMs = answer.retryAfterS * MS_PER_SECOND;
      if (performance.now() + waitMs > deadlineAt) break;
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    this.refused += 1;
  }
}
