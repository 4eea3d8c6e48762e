/**
 * A model engine in simulated time, with continuous batching: it admits requests into the batch in order of
 * arrival, prefills prompts in chunks alongside the decoding of the others, and caches shared prefixes in the
 * KV cache memory that the batch leaves free.
 */
import { hashSharedPrefix, PrefixCacheIndex, sharedPrefixTokens } from '@poplarpick/decisions';
import type { HashedSegment, Prompt } from '@poplarpick/decisions';

/** Capacity and speed of an engine. */
export interface EngineParameters {
  slots: number;
  /** Duration of a step in ms: a fixed part, and a part for each request in the batch. */
  baseStepMs: number;
  stepMsPerRequest: number;
  prefillTokensPerMs: number;
  /** Prompt tokens that one step prefills at most, over all requests. */
  maxPrefillChunkTokens: number;
  kvCacheTokens: number;
}

/** A request that waits or runs at an engine. */
export interface EngineRun {
  id: number;
  prompt: Prompt;
  prefillTokensLeft: number;
  generatedTokens: number;
  isCancelled: boolean;
}

/** Runs that passed a milestone in a step. */
export interface StepOutcome {
  /** Runs that have generated their first token. */
  started: EngineRun[];
  ended: EngineRun[];
}

/** Each engine has a cache index of its own, which therefore lists one endpoint. */
const ENDPOINT_ID = 'engine';

/** Simulates one engine, step by step. */
export class EngineModel {
  /** Prefilled prompt tokens in total, and those of them that belong to shared prefixes. */
  readonly prefilled = { tokens: 0, sharedTokens: 0 };
  private readonly parameters: EngineParameters;
  private readonly prefixCache = new PrefixCacheIndex();
  private waiting: EngineRun[] = [];
  private batch: EngineRun[] = [];
  private chunkTokens = new Map<EngineRun, number>();
  private stepEndsAt = Number.POSITIVE_INFINITY;

  constructor(parameters: EngineParameters) {
    this.parameters = parameters;
  }

  /** Time at which the current step ends; infinite while the engine is idle. */
  get nextStepEndsAt(): number {
    return this.stepEndsAt;
  }

  get inFlight(): number {
    return this.waiting.length + this.batch.length;
  }

  submit(id: number, prompt: Prompt, now: number): EngineRun {
    const run: EngineRun = {
      id,
      prompt,
      prefillTokensLeft: 0,
      generatedTokens: 0,
      isCancelled: false,
    };
    this.waiting.push(run);
    if (this.stepEndsAt === Number.POSITIVE_INFINITY) this.startStep(now);
    return run;
  }

  /** Completes the current step and starts the next. */
  completeStep(now: number): StepOutcome {
    const outcome: StepOutcome = { started: [], ended: [] };
    for (const run of this.batch) this.advanceRun(run, outcome);
    this.batch = this.batch.filter(
      (run) => run.generatedTokens < run.prompt.outputTokens && !run.isCancelled,
    );
    this.startStep(now);
    return outcome;
  }

  private advanceRun(run: EngineRun, outcome: StepOutcome): void {
    if (run.isCancelled) return;
    if (run.prefillTokensLeft > 0) {
      run.prefillTokensLeft -= this.chunkTokens.get(run) ?? 0;
      return;
    }
    run.generatedTokens += 1;
    if (run.generatedTokens === 1) outcome.started.push(run);
    if (run.generatedTokens >= run.prompt.outputTokens) outcome.ended.push(run);
  }

  private startStep(now: number): void {
    this.admitWaiting();
    if (this.batch.length === 0) {
      this.stepEndsAt = Number.POSITIVE_INFINITY;
      return;
    }
    let tokensLeft = this.parameters.maxPrefillChunkTokens;
    this.chunkTokens = new Map();
    for (const run of this.batch) {
      if (run.prefillTokensLeft === 0 || tokensLeft === 0) continue;
      const tokens = Math.min(tokensLeft, run.prefillTokensLeft);
      this.chunkTokens.set(run, tokens);
      tokensLeft -= tokens;
    }
    const { baseStepMs, stepMsPerRequest, prefillTokensPerMs, maxPrefillChunkTokens } =
      this.parameters;
    const prefillMs = (maxPrefillChunkTokens - tokensLeft) / prefillTokensPerMs;
    this.stepEndsAt = now + baseStepMs + stepMsPerRequest * this.batch.length + prefillMs;
  }

  private admitWaiting(): void {
    const { slots, kvCacheTokens } = this.parameters;
    this.waiting = this.waiting.filter(({ isCancelled }) => !isCancelled);
    for (;;) {
      const [next] = this.waiting;
      if (next === undefined || this.batch.length >= slots) return;
      const usedTokens = this.batch.reduce((sum, run) => sum + kvCacheTokensOf(run), 0);
      if (usedTokens + kvCacheTokensOf(next) > kvCacheTokens) return;
      this.waiting.shift();
      this.startPrefill(next, kvCacheTokens - usedTokens);
      this.batch.push(next);
    }
  }

  private startPrefill(run: EngineRun, freeTokens: number): void {
    const segments: HashedSegment[] = hashSharedPrefix(run.prompt);
    const uncachedTokens = this.prefixCache.uncachedTokens(ENDPOINT_ID, segments);
    for (const segment of segments) this.prefixCache.recordCached(ENDPOINT_ID, segment, freeTokens);
    run.prefillTokensLeft =
      run.prompt.inputTokens - sharedPrefixTokens(run.prompt) + uncachedTokens;
    this.prefilled.tokens += run.prefillTokensLeft;
    this.prefilled.sharedTokens += uncachedTokens;
  }
}

function kvCacheTokensOf({ prompt, generatedTokens }: EngineRun): number {
  return prompt.inputTokens + generatedTokens;
}
