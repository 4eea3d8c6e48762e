/**
 * A model engine in simulated time: it admits in the order of arrival into a batch, reads prompts in
 * chunks between the tokens of the others, and keeps shared parts in the memory that the batch leaves.
 */
import { hashSharedPrefix, PrefixCacheIndex, sharedPrefixTokens } from '@poplarpick/decisions';
import type { HashedSegment, Prompt } from '@poplarpick/decisions';

/** How an engine works. */
export interface EngineParameters {
  slots: number;
  /** Time of a step without any request, and for each one in the batch, in ms. */
  baseStepMs: number;
  stepMsPerRequest: number;
  prefillTokensPerMs: number;
  /** Most prompt tokens that are read in one step. */
  maxPrefillChunkTokens: number;
  kvCacheTokens: number;
}

/** A request at an engine. */
export interface EngineRun {
  id: number;
  prompt: Prompt;
  prefillTokensLeft: number;
  generatedTokens: number;
  isCancelled: boolean;
}

/** What a step brought. */
export interface StepOutcome {
  /** Runs that have written their first token. */
  started: EngineRun[];
  ended: EngineRun[];
}

const NAME = 'engine';

/** One engine. */
export class EngineModel {
  /** Prompt tokens that were read, and those of them that others share. */
  readonly prefilled = { tokens: 0, sharedTokens: 0 };
  private readonly parameters: EngineParameters;
  private readonly memory = new PrefixCacheIndex();
  private waiting: EngineRun[] = [];
  private batch: EngineRun[] = [];
  private chunk = new Map<EngineRun, number>();
  private endsAt = Number.POSITIVE_INFINITY;

  constructor(parameters: EngineParameters) {
    this.parameters = parameters;
  }

  /** End of the step that runs; infinite where none does. */
  get nextStepEndsAt(): number {
    return this.endsAt;
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
    if (this.endsAt === Number.POSITIVE_INFINITY) this.begin(now);
    return run;
  }

  /** Ends the step that runs and begins the next. */
  completeStep(now: number): StepOutcome {
    const outcome: StepOutcome = { started: [], ended: [] };
    for (const run of this.batch) this.advance(run, outcome);
    this.batch = this.batch.filter(
      (run) => run.generatedTokens < run.prompt.outputTokens && !run.isCancelled,
    );
    this.begin(now);
    return outcome;
  }

  private advance(run: EngineRun, outcome: StepOutcome): void {
    if (run.isCancelled) return;
    if (run.prefillTokensLeft > 0) {
      run.prefillTokensLeft -= this.chunk.get(run) ?? 0;
      return;
    }
    run.generatedTokens += 1;
    if (run.generatedTokens === 1) outcome.started.push(run);
    if (run.generatedTokens >= run.prompt.outputTokens) outcome.ended.push(run);
  }

  private begin(now: number): void {
    this.admit();
    if (this.batch.length === 0) {
      this.endsAt = Number.POSITIVE_INFINITY;
      return;
    }
    let left = this.parameters.maxPrefillChunkTokens;
    this.chunk = new Map();
    for (const run of this.batch) {
      if (run.prefillTokensLeft === 0 || left === 0) continue;
      const part = Math.min(left, run.prefillTokensLeft);
      this.chunk.set(run, part);
      left -= part;
    }
    const { baseStepMs, stepMsPerRequest, prefillTokensPerMs, maxPrefillChunkTokens } =
      this.parameters;
    const readMs = (maxPrefillChunkTokens - left) / prefillTokensPerMs;
    this.endsAt = now + baseStepMs + stepMsPerRequest * this.batch.length + readMs;
  }

  private admit(): void {
    const { slots, kvCacheTokens } = this.parameters;
    this.waiting = this.waiting.filter(({ isCancelled }) => !isCancelled);
    for (;;) {
      const [next] = this.waiting;
      if (next === undefined || this.batch.length >= slots) return;
      const held = this.batch.reduce((sum, run) => sum + heldBy(run), 0);
      if (held + heldBy(next) > kvCacheTokens) return;
      this.waiting.shift();
      this.startReading(next, kvCacheTokens - held);
      this.batch.push(next);
    }
  }

  private startReading(run: EngineRun, freeTokens: number): void {
    const parts: HashedSegment[] = hashSharedPrefix(run.prompt);
    const missing = this.memory.uncachedTokens(NAME, parts);
    for (const part of parts) this.memory.recordCached(NAME, part, freeTokens);
    run.prefillTokensLeft = run.prompt.inputTokens - sharedPrefixTokens(run.prompt) + missing;
    this.prefilled.tokens += run.prefillTokensLeft;
    this.prefilled.sharedTokens += missing;
  }
}

function heldBy({ prompt, generatedTokens }: EngineRun): number {
  return prompt.inputTokens + generatedTokens;
}
