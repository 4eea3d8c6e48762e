/**
 * Computes an upper bound on the orphaned runs of an endpoint, which its sidecar does not manage:
 * runs that an earlier incarnation of the sidecar started, and abandoned runs whose stop the endpoint
 * has not confirmed. Only the sidecar sends work to the endpoint, so between two abandoned runs the
 * number can only fall; the endpoint's load reports, which lag, show by how much.
 */

/** Number of runs that the sidecar managed from a time on. */
interface OwnRunCount {
  time: number;
  running: number;
}

/** A run that the sidecar gave up before it ended. */
interface AbandonedRun {
  time: number;
  /** How often reports had lowered the bound when the run was abandoned. */
  reductions: number;
}

/** Options of `OrphanedRuns`. */
export interface OrphanedRunsOptions {
  /** Time at which the sidecar started. */
  startedAt: number;
}

/** Bounds the number of orphaned runs. All times are monotonic milliseconds. */
export class OrphanedRuns {
  private readonly startedAt: number;
  private readonly abandoned = new Map<string, AbandonedRun>();
  private history: OwnRunCount[] = [];
  private inheritedRuns: number | undefined;
  private reductions = 0;

  constructor(options: OrphanedRunsOptions) {
    this.startedAt = options.startedAt;
  }

  /** Most orphaned runs that may exist; infinite before the first usable load report. */
  get upperBound(): number {
    return this.inheritedRuns === undefined ? Infinity : this.inheritedRuns + this.abandoned.size;
  }

  /** Records how many runs the sidecar manages from `now` on. */
  recordOwnRuns(running: number, now: number): void {
    this.history.push({ time: now, running });
  }

  /** Records that a run was abandoned while the endpoint may still execute it. */
  recordAbandoned(id: string, now: number): void {
    this.abandoned.set(id, { time: now, reductions: this.reductions });
  }

  /** Records that the endpoint has confirmed the stop of an abandoned run. */
  confirmStopped(id: string): void {
    // A report that lowered the bound since the run was abandoned may have done so for this run;
    // removing it as well would subtract it twice.
    if (this.abandoned.get(id)?.reductions === this.reductions) this.abandoned.delete(id);
  }

  /**
   * Lowers the bound by a load report that is at most `lagMs` old. `totalRuns` counts the runs at the
   * endpoint, both waiting and executing.
   */
  applyLoadReport(totalRuns: number, lagMs: number, now: number): void {
    // A report from before the start may miss work that the earlier incarnation sent after it.
    if (now - lagMs < this.startedAt) return;
    const measuredSince = now - lagMs;
    const orphanBound = Math.max(0, totalRuns - this.findMinOwnRuns(measuredSince));
    this.inheritedRuns ??= orphanBound;
    // A run that was abandoned after `measuredSince` may have started after the report was made.
    const reportedIds = [...this.abandoned]
      .filter(([, run]) => run.time <= measuredSince)
      .map(([id]) => id);
    for (
      let excess = this.inheritedRuns + reportedIds.length - orphanBound;
      excess > 0;
      excess -= 1
    )
      this.removeOne(reportedIds.shift());
  }

  /** Fewest runs that the sidecar managed at any time after `since`; prunes the older history. */
  private findMinOwnRuns(since: number): number {
    const before = this.history.filter((entry) => entry.time <= since).at(-1);
    const later = this.history.filter((entry) => entry.time > since);
    this.history = before === undefined ? later : [before, ...later];
    if (before === undefined) return 0;
    return Math.min(...this.history.map((entry) => entry.running));
  }

  /** Lowers the bound by one: by the abandoned run `id`, or else by an inherited run. */
  private removeOne(id: string | undefined): void {
    this.reductions += 1;
    if (id !== undefined) this.abandoned.delete(id);
    else this.inheritedRuns = Math.max(0, (this.inheritedRuns ?? 0) - 1);
  }
}
