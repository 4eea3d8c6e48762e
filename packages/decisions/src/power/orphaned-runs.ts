/**
 * Upper bound on what runs at an endpoint besides the runs that its sidecar holds: runs of an earlier
 * incarnation, and runs that were given up without word that the endpoint has stopped them. Nobody
 * else gives the endpoint work, so the number only falls; the endpoint's lagging load report says how far.
 */

interface OwnRunCount {
  time: number;
  running: number;
}

/** A run that was given up. */
interface AbandonedRun {
  time: number;
  /** Reports that had lowered the bound when it was given up. */
  reductions: number;
}

/** Options of `OrphanedRuns`. */
export interface OrphanedRunsOptions {
  /** Time at which the sidecar started. */
  startedAt: number;
}

/** Counts leftover runs. All times are monotonic milliseconds. */
export class OrphanedRuns {
  private readonly startedAt: number;
  private readonly abandoned = new Map<string, AbandonedRun>();
  private history: OwnRunCount[] = [];
  private inheritedRuns: number | undefined;
  private reductions = 0;

  constructor(options: OrphanedRunsOptions) {
    this.startedAt = options.startedAt;
  }

  /** Most runs that may be left over; infinite before the first usable load report. */
  get upperBound(): number {
    return this.inheritedRuns === undefined ? Infinity : this.inheritedRuns + this.abandoned.size;
  }

  /** Notes how many runs the sidecar holds from now on. */
  recordOwnRuns(running: number, now: number): void {
    this.history.push({ time: now, running });
  }

  /** A run was given up, and the endpoint may still work on it. */
  recordAbandoned(id: string, now: number): void {
    this.abandoned.set(id, { time: now, reductions: this.reductions });
  }

  /** The endpoint has confirmed that it stopped a run that was given up. */
  confirmStopped(id: string): void {
    // After a report lowered the bound, this run may be the one that the report had no longer seen.
    if (this.abandoned.get(id)?.reductions === this.reductions) this.abandoned.delete(id);
  }

  /** Takes in a load report that is at most `lagMs` old: the runs at the endpoint, waiting or not. */
  applyLoadReport(totalRuns: number, lagMs: number, now: number): void {
    // The first reports may date from before the start, when more could still be handed over.
    if (now - lagMs < this.startedAt) return;
    const measuredSince = now - lagMs;
    const orphanBound = Math.max(0, totalRuns - this.findMinOwnRuns(measuredSince));
    this.inheritedRuns ??= orphanBound;
    // A run that was given up later may have started after the report was made.
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

  private findMinOwnRuns(since: number): number {
    const before = this.history.filter((entry) => entry.time <= since).at(-1);
    const later = this.history.filter((entry) => entry.time > since);
    this.history = before === undefined ? later : [before, ...later];
    if (before === undefined) return 0;
    return Math.min(...this.history.map((entry) => entry.running));
  }

  private removeOne(id: string | undefined): void {
    this.reductions += 1;
    if (id !== undefined) this.abandoned.delete(id);
    else this.inheritedRuns = Math.max(0, (this.inheritedRuns ?? 0) - 1);
  }
}
