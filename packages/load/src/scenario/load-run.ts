/**
 * Sends the planned requests of a scenario to routers and summarises the results. Latency counts from
 * the time a request was due, so that a slow answer does not hide the waiting time of later requests.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { callApplication } from '../application-caller.ts';
import { callChat, CallOutcome } from '../chat-caller.ts';
import type { ChatCall, ChatResult } from '../chat-caller.ts';
import { sleep } from '../open-loop.ts';
import { sum } from '../statistics.ts';
import { RequestKind, planRequests } from './request-plan.ts';
import type { PlannedRequest } from './request-plan.ts';
import type { ScenarioLoad } from './scenario.ts';

/** Routers, workspaces and calls that the load is sent to. */
export interface LoadTarget {
  routers: string[];
  model: string;
  workspaces: { name: string; key: string }[];
  /** Call that must not be executed twice; without it chat requests are sent in its place. */
  nonIdempotentCall?: { service: string; path: string };
  /** Checks the text of a complete answer; without it answers are not checked. */
  isExpectedAnswer?: (call: ChatCall, text: string) => boolean;
}

/** Options of `runLoad`. */
export interface LoadRunOptions {
  load: ScenarioLoad;
  seed: number;
  target: LoadTarget;
}

/** Percentiles and maximum, in milliseconds. */
export interface LatencySummary {
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Counts and latencies of a run, as callers saw them. */
export interface LoadResult {
  sent: number;
  /** Requests with a complete answer. */
  whole: number;
  /** Requests that failed with the verdict that they were not executed. */
  refused: number;
  /** Requests that failed with another verdict. */
  failed: number;
  /** Requests that ended without a complete answer and without a verdict. */
  lost: number;
  /** Complete answers that differ from the expected one. */
  wrong: number;
  tokensPerSecond: number;
  /** Time from when a request was due to its first token. */
  firstTokenMs: LatencySummary;
  /** Longest time between two tokens of each answer. */
  tokenGapMs: LatencySummary;
  /** How long after its due time each request was sent. */
  lateMs: LatencySummary;
  /** Number of tokens received, by workspace. */
  tokensByWorkspace: Record<string, number>;
  /** Number of refusals and failures, by error code. */
  codes: Record<string, number>;
  /** Duration of the run. */
  seconds: number;
}

const MICROSECONDS_PER_MS = 1_000;

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
  const inFlight: Promise<void>[] = [];
  for (const request of plan) {
    const waitMs = startedAt + request.dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    inFlight.push(run.send(request, performance.now() - startedAt - request.dueMs));
  }
  await Promise.all(inFlight);
  return run.buildResult((performance.now() - startedAt) / 1_000);
}

/** Sends the requests of one run and collects their results. */
class LoadRun {
  private readonly target: LoadTarget;
  private readonly firstToken = build();
  private readonly tokenGap = build();
  private readonly lateness = build();
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
    recordMs(this.lateness, lateMs);
    if (request.kind === RequestKind.NonIdempotent && this.target.nonIdempotentCall !== undefined)
      await this.sendNonIdempotentCall(request);
    else await this.sendChat(request, lateMs);
  }

  buildResult(seconds: number): LoadResult {
    const { sent, whole, refused, failed, lost, wrong } = this;
    const tokens = sum([...this.tokens.values()]);
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
      lateMs: summarize(this.lateness),
      tokensByWorkspace: Object.fromEntries([...this.tokens].sort()),
      codes: Object.fromEntries([...this.codes].sort()),
      seconds,
    };
  }

  private async sendChat(request: PlannedRequest, lateMs: number): Promise<void> {
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
    this.recordOutcome(result.outcome, result.code, result.verdict);
    if (result.firstTokenMs !== undefined) recordMs(this.firstToken, result.firstTokenMs + lateMs);
    if (result.tokens > 1) recordMs(this.tokenGap, result.longestGapMs);
    const name = workspace?.name ?? '';
    this.tokens.set(name, (this.tokens.get(name) ?? 0) + result.tokens);
    if (this.isWrong(call, result)) this.wrong += 1;
  }

  private isWrong(call: ChatCall, result: ChatResult): boolean {
    if (result.outcome !== CallOutcome.Complete) return false;
    return this.target.isExpectedAnswer?.(call, result.text) === false;
  }

  private async sendNonIdempotentCall(request: PlannedRequest): Promise<void> {
    const { target } = this;
    const key = `once-${request.serial}`;
    const result = await callApplication({
      url: target.routers[request.router] ?? '',
      key: target.workspaces[request.workspace]?.key ?? '',
      service: target.nonIdempotentCall?.service ?? '',
      path: target.nonIdempotentCall?.path ?? '',
      body: { key },
    });
    this.recordOutcome(result.outcome, result.code, result.verdict);
    const answer = result.body as { key?: string } | undefined;
    if (result.outcome === CallOutcome.Complete && answer?.key !== key) this.wrong += 1;
  }

  private recordOutcome(
    outcome: CallOutcome,
    code: string | undefined,
    verdict: string | undefined,
  ): void {
    if (code !== undefined) this.codes.set(code, (this.codes.get(code) ?? 0) + 1);
    if (outcome === CallOutcome.Complete) this.whole += 1;
    else if (verdict === undefined) this.lost += 1;
    else if (verdict === 'not-run') this.refused += 1;
    else this.failed += 1;
  }
}

function recordMs(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MS)));
}

function summarize(histogram: Histogram): LatencySummary {
  const readPercentile = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    p50: readPercentile(50),
    p95: readPercentile(95),
    p99: readPercentile(99),
    max: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}
