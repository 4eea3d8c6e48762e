/**
 * Simulated continuous batching. Each step generates one token for every running sequence and takes
 * longer the more sequences run. A sequence first spends steps on prefilling the uncached part of its
 * prompt.
 */

/** Speed and size of a batch. */
export interface BatchPace {
  /** Duration of a step with one sequence, in milliseconds. */
  baseStepMs: number;
  /** Time that each further sequence adds to a step, in milliseconds. */
  perSequenceMs: number;
  /** Prompt tokens that a sequence prefills per step. */
  prefillTokensPerStep: number;
  /** Maximum number of running sequences; further ones wait in order of arrival. */
  batchLimit: number;
}

/** A generation that the batch advances. */
export interface Sequence {
  /** Prompt tokens still to be prefilled. */
  prefillTokens: number;
  /** Generates the next token; returns false once the sequence has ended. */
  advance(): boolean;
}

/** Runs sequences in timed steps. */
export class Batch {
  private readonly pace: BatchPace;
  private readonly running = new Set<Sequence>();
  private waiting: Sequence[] = [];
  private timer: NodeJS.Timeout | undefined;
  private nextStepAt = 0;

  constructor(pace: BatchPace) {
    this.pace = pace;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Duration of a step with the sequences that run now, in milliseconds. */
  get stepMs(): number {
    return this.pace.baseStepMs + this.pace.perSequenceMs * Math.max(0, this.running.size - 1);
  }

  add(sequence: Sequence): void {
    if (this.running.size < this.pace.batchLimit) this.running.add(sequence);
    else this.waiting.push(sequence);
    if (this.timer !== undefined) return;
    this.nextStepAt = performance.now();
    this.scheduleStep();
  }

  remove(sequence: Sequence): void {
    this.running.delete(sequence);
    this.waiting = this.waiting.filter((other) => other !== sequence);
    this.admitWaiting();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.running.clear();
    this.waiting = [];
  }

  /** Schedules the next step from the time the last was due, so that late timers cause no drift. */
  private scheduleStep(): void {
    this.nextStepAt += this.stepMs;
    this.timer = setTimeout(() => this.runStep(), Math.max(0, this.nextStepAt - performance.now()));
  }

  private runStep(): void {
    this.timer = undefined;
    for (const sequence of [...this.running]) {
      if (sequence.prefillTokens > 0) sequence.prefillTokens -= this.pace.prefillTokensPerStep;
      else if (!sequence.advance()) this.running.delete(sequence);
    }
    this.admitWaiting();
    if (this.running.size > 0) this.scheduleStep();
  }

  private admitWaiting(): void {
    while (this.running.size < this.pace.batchLimit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running.add(next);
    }
  }
}
