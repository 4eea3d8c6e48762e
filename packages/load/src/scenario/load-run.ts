/**
 * Sends the planned requests of a scenario to routers and sums up what callers got. Delays are counted
 * from the time a request was due, so that a slow answer does not hide the wait of those behind it.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { callApplication } from '../application-caller.ts';
import { callChat, CallOutcome } from '../chat-caller.ts';
import type { ChatCall, ChatResult } from '../chat-caller.ts';
import { sleep } from '../open-loop.ts';
import { RequestKind, planRequests } from './request-plan.ts';
import type { PlannedRequest } from './request-plan.ts';
import type { ScenarioLoad } from './scenario.ts';

/** Where the load goes. */
export interface LoadTarget {
  routers: string[];
  model: string;
  workspaces: { name: string; key: string }[];
  /** Service whose calls must not run twice; without it none are sent. */
  nonIdempotentCall?: { service: string; path: string };
  /** Whether an answer is the right one; without it answers are not compared. */
  isExpectedAnswer?: (call: ChatCall, text: string) => boolean;
}

/** Options of `runLoad`. */
export interface LoadRunOptions {
  load: ScenarioLoad;
  seed: number;
  target: LoadTarget;
}

/** Percentiles in milliseconds. */
export interface LatencySummary {
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** What callers got. */
export interface LoadResult {
  sent: number;
  whole: number;
  refused: number;
  /** Failed with a word of whether it may have run. */
  failed: number;
  /** Neither an answer nor a word. */
  lost: number;
  wrong: number;
  tokensPerSecond: number;
  /** From the time that a request was due to its first token. */
  firstTokenMs: LatencySummary;
  /** Longest time between two tokens of each answer. */
  tokenGapMs: LatencySummary;
  /** By how much the generator itself was late. */
  lateMs: LatencySummary;
  /** Tokens that each workspace received. */
  tokensByWorkspace: Record<string, number>;
  /** Codes of refusals and failures. */
  codes: Record<string, number>;
  seconds: number;
}

const MICROSECONDS = 1_000;

/** Runs the load; resolves when all requests have ended. */
export async function runLoad(options: LoadRunOptions): Promise<LoadResult> {
  const { load, seed, target } = options;
  const { routers, workspaces } = target;
  const plan = planRequests({
    load,
    seed,
    workspaces: workspaces.length,
    routers: routers.length,
  });
  const run = new LoadRun(target);
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  for (const request of plan) {
    const waitMs = startedAt + request.dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    open.push(run.send(request, performance.now() - startedAt - request.dueMs));
  }
  await Promise.all(open);
  return run.read((performance.now() - startedAt) / 1_000);
}

/** Collects the results of one run. */
class LoadRun {
  private readonly target: LoadTarget;
  private readonly firstToken = build();
  private readonly tokenGap = build();
  private readonly late = build();
  private readonly tokens = new Map<string, number>();
  private readonly codes = new Map<string, number>();
  private sent = 0;
  private whole = 0;
  private refused = 0;
  private failed = 0;
  private lost = 0;
  private wrong = 0;

  constructor(target: LoadTarget) {
    this.target = target;
  }

  async send(request: PlannedRequest, lateMs: number): Promise<void> {
    this.sent += 1;
    record(this.late, lateMs);
    if (request.kind === RequestKind.NonIdempotent && this.target.nonIdempotentCall !== undefined)
      await this.callOnce(request);
    else await this.chat(request, lateMs);
  }

  read(seconds: number): LoadResult {
    const { sent, whole, refused, failed, lost, wrong } = this;
    const tokens = [...this.tokens.values()].reduce((sum, count) => sum + count, 0);
    return {
      sent,
      whole,
      refused,
      failed,
      lost,
      wrong,
      tokensPerSecond: tokens / seconds,
      firstTokenMs: summarize(this.firstToken),
      tokenGapMs: summarize(this.tokenGap),
      lateMs: summarize(this.late),
      tokensByWorkspace: Object.fromEntries([...this.tokens].sort()),
      codes: Object.fromEntries([...this.codes].sort()),
      seconds,
    };
  }

  private async chat(request: PlannedRequest, lateMs: number): Promise<void> {
    const { target } = this;
    const workspace = target.workspaces[request.workspace];
    const call: ChatCall = {
      url: target.routers[request.router] ?? '',
      key: workspace?.key ?? '',
      model: target.model,
      prompt: request.prompt,
      outputTokens: request.outputTokens,
      maxTokens: request.outputTokens,
    };
    const result = await callChat(call);
    this.count(result.outcome, result.code, result.verdict);
    if (result.firstTokenMs !== undefined) record(this.firstToken, result.firstTokenMs + lateMs);
    if (result.tokens > 1) record(this.tokenGap, result.longestGapMs);
    const name = workspace?.name ?? '';
    this.tokens.set(name, (this.tokens.get(name) ?? 0) + result.tokens);
    if (this.isWrong(call, result)) this.wrong += 1;
  }

  private isWrong(call: ChatCall, result: ChatResult): boolean {
    if (result.outcome !== CallOutcome.Complete) return false;
    return this.target.isExpectedAnswer?.(call, result.text) === false;
  }

  private async callOnce(request: PlannedRequest): Promise<void> {
    const { target } = this;
    const key = `once-${request.serial}`;
    const result = await callApplication({
      url: target.routers[request.router] ?? '',
      key: target.workspaces[request.workspace]?.key ?? '',
      service: target.nonIdempotentCall?.service ?? '',
      path: target.nonIdempotentCall?.path ?? '',
      body: { key },
    });
    this.count(result.outcome, result.code, result.verdict);
    const answer = result.body as { key?: string } | undefined;
    if (result.outcome === CallOutcome.Complete && answer?.key !== key) this.wrong += 1;
  }

  private count(outcome: CallOutcome, code: string | undefined, verdict: string | undefined): void {
    if (code !== undefined) this.codes.set(code, (this.codes.get(code) ?? 0) + 1);
    if (outcome === CallOutcome.Complete) this.whole += 1;
    else if (verdict === undefined) this.lost += 1;
    else if (verdict === 'not-run') this.refused += 1;
    else this.failed += 1;
  }
}

function record(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS)));
}

function summarize(histogram: Histogram): LatencySummary {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;
  return { p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / MICROSECONDS };
}
