/**
 * Continuous batching: all running sequences advance by one token a step, and a step takes longer the
 * more of them there are. A sequence first spends steps on the part of its prompt that is not cached.
 */

/** Pace of an engine. */
export interface BatchPace {
  /** Time of a step with one sequence. */
  baseStepMs: number;
  /** Time that each further sequence adds to a step. */
  perSequenceMs: number;
  /** Prompt tokens that a sequence takes in per step. */
  prefillTokensPerStep: number;
  /** Sequences that run at once; more wait in the order of arrival. */
  batchLimit: number;
}

/** A sequence in the batch. */
export interface Sequence {
  /** Prompt tokens still to be taken in. */
  prefillTokens: number;
  /** Called for each generated token; returns false once the sequence has ended. */
  advance(): boolean;
}

/** Runs sequences at the pace of an engine. */
export class Batch {
  private readonly pace: BatchPace;
  private readonly running = new Set<Sequence>();
  private waiting: Sequence[] = [];
  private timer: NodeJS.Timeout | undefined;
  private dueAt = 0;

  constructor(pace: BatchPace) {
    this.pace = pace;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Time of a step as things stand. */
  get stepMs(): number {
    return this.pace.baseStepMs + this.pace.perSequenceMs * Math.max(0, this.running.size - 1);
  }

  add(sequence: Sequence): void {
    if (this.running.size < this.pace.batchLimit) this.running.add(sequence);
    else this.waiting.push(sequence);
    if (this.timer !== undefined) return;
    this.dueAt = performance.now();
    this.plan();
  }

  remove(sequence: Sequence): void {
    this.running.delete(sequence);
    this.waiting = this.waiting.filter((other) => other !== sequence);
    this.fill();
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.running.clear();
    this.waiting = [];
  }

  /** Steps are planned from the time they were due, so timers that fire late add up to no drift. */
  private plan(): void {
    this.dueAt += this.stepMs;
    this.timer = setTimeout(() => this.step(), Math.max(0, this.dueAt - performance.now()));
  }

  private step(): void {
    this.timer = undefined;
    for (const sequence of [...this.running]) {
      if (sequence.prefillTokens > 0) sequence.prefillTokens -= this.pace.prefillTokensPerStep;
      else if (!sequence.advance()) this.running.delete(sequence);
    }
    this.fill();
    if (this.running.size > 0) this.plan();
  }

  private fill(): void {
    while (this.running.size < this.pace.batchLimit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running.add(next);
    }
  }
}
