/**
 * Upper bound on what runs at an endpoint besides the runs that its sidecar holds: runs of an earlier
 * incarnation, and runs that were given up without word that the endpoint has stopped them. Nobody
 * else gives the endpoint work, so the number only falls; the endpoint's lagging load report says how far.
 */

interface OwnRuns {
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
  private history: OwnRuns[] = [];
  private earlier: number | undefined;
  private reductions = 0;

  constructor(options: OrphanedRunsOptions) {
    this.startedAt = options.startedAt;
  }

  /** Most runs that may be left over; infinite before the first usable load report. */
  get upperBound(): number {
    return this.earlier === undefined ? Infinity : this.earlier + this.abandoned.size;
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
  applyLoadReport(total: number, lagMs: number, now: number): void {
    // The first reports may date from before the start, when more could still be handed over.
    if (now - lagMs < this.startedAt) return;
    const since = now - lagMs;
    const bound = Math.max(0, total - this.leastOwn(since));
    this.earlier ??= bound;
    // A run that was given up later may have started after the report was made.
    const seen = [...this.abandoned].filter(([, run]) => run.time <= since).map(([id]) => id);
    for (let excess = this.earlier + seen.length - bound; excess > 0; excess -= 1)
      this.dropOne(seen.shift());
  }

  private leastOwn(since: number): number {
    const before = this.history.filter((line) => line.time <= since).at(-1);
    const later = this.history.filter((line) => line.time > since);
    this.history = before === undefined ? later : [before, ...later];
    if (before === undefined) return 0;
    return Math.min(...this.history.map((line) => line.running));
  }

  private dropOne(id: string | undefined): void {
    this.reductions += 1;
    if (id !== undefined) this.abandoned.delete(id);
    else this.earlier = Math.max(0, (this.earlier ?? 0) - 1);
  }
}
