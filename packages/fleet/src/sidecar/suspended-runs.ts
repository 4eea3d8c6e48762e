/** Suspends and resumes runs to stay within the power cap. Part of the admission task. */
import type { Execution } from './execution.ts';

/** Options of `SuspendedRuns`. */
export interface SuspendedRunsOptions {
  /** Called when the endpoint has answered whether it has suspended a run. */
  onAnswer: (execution: Execution, isSuspended: boolean) => void;
}

/** Tracks the suspended runs, in the order in which they are resumed, and those being suspended. */
export class SuspendedRuns {
  private readonly options: SuspendedRunsOptions;
  private readonly suspending = new Set<Execution>();
  private readonly suspended = new Set<Execution>();

  constructor(options: SuspendedRunsOptions) {
    this.options = options;
  }

  get count(): number {
    return this.suspended.size;
  }

  /** Suspends the runs that started last until only `slots` are left. */
  suspendExcess(running: readonly Execution[], slots: number): void {
    const active = running.filter(
      (execution) => !this.suspended.has(execution) && !this.suspending.has(execution),
    );
    const excess = active.length - slots;
    if (excess <= 0) return;
    for (const execution of active.slice(-excess)) this.suspend(execution);
  }

  /** Applies the endpoint's answer. Returns whether the run is now suspended. */
  applyAnswer(execution: Execution, isSuspended: boolean): boolean {
    if (!this.suspending.delete(execution)) return false;
    if (isSuspended && execution.end === undefined) this.suspended.add(execution);
    return this.suspended.has(execution);
  }

  /** Removes a run that has ended or was abandoned. Returns whether it was suspended. */
  remove(execution: Execution): boolean {
    this.suspending.delete(execution);
    return this.suspended.delete(execution);
  }

  /** Resumes the run that was suspended first. Returns false if there is none. */
  resumeNext(): boolean {
    const [first] = this.suspended;
    if (first === undefined) return false;
    this.suspended.delete(first);
    first.run?.resume?.();
    return true;
  }

  private suspend(execution: Execution): void {
    const answer = execution.run?.suspend?.();
    if (answer === undefined) return;
    this.suspending.add(execution);
    void answer.then((isSuspended) => this.options.onAnswer(execution, isSuspended));
  }
}
