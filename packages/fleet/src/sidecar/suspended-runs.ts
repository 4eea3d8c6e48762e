/** The runs that were halted to keep the power cap, and those about to be. Part of the admission task. */
import type { Execution } from './execution.ts';

/** Options of `SuspendedRuns`. */
export interface SuspendedRunsOptions {
  /** Called when the endpoint has answered whether it halted a run. */
  onAnswer: (execution: Execution, halted: boolean) => void;
}

/** Keeps the suspended runs in the order in which they go on. */
export class SuspendedRuns {
  private readonly options: SuspendedRunsOptions;
  private readonly halting = new Set<Execution>();
  private readonly halted = new Set<Execution>();

  constructor(options: SuspendedRunsOptions) {
    this.options = options;
  }

  get count(): number {
    return this.halted.size;
  }

  /** Halts the runs that started last until only `slots` are left. */
  suspendExcess(running: readonly Execution[], slots: number): void {
    const active = running.filter(
      (execution) => !this.halted.has(execution) && !this.halting.has(execution),
    );
    const excess = active.length - slots;
    if (excess <= 0) return;
    for (const execution of active.slice(-excess)) this.halt(execution);
  }

  /** The endpoint has answered; true where the run is now suspended. */
  applyAnswer(execution: Execution, halted: boolean): boolean {
    if (!this.halting.delete(execution)) return false;
    if (halted && execution.end === undefined) this.halted.add(execution);
    return this.halted.has(execution);
  }

  /** Takes out a run that has ended or is given up; true where it was suspended. */
  remove(execution: Execution): boolean {
    this.halting.delete(execution);
    return this.halted.delete(execution);
  }

  /** Goes on with the run that was suspended first; false where there is none. */
  resumeNext(): boolean {
    const [first] = this.halted;
    if (first === undefined) return false;
    this.halted.delete(first);
    first.run?.resume?.();
    return true;
  }

  private halt(execution: Execution): void {
    const suspended = execution.run?.suspend?.();
    if (suspended === undefined) return;
    this.halting.add(execution);
    void suspended.then((halted) => this.options.onAnswer(execution, halted));
  }
}
