/**
 * The planned stop of this router: its cutoff, its end, and whether what is left of the grace can hold a request.
 * Also learns how long the answers of each route take.
 */
import { DurationEstimate, fitsGrace, isResumableStream } from '@poplarpick/decisions';
import type { Route, RoutingTable } from '@poplarpick/decisions';
import type { Clock } from '@poplarpick/kernel';

/**
 * Time from the start of a stop to its cutoff, in ms. Later requests are refused. By then, the load balancer has
 * long seen that the router isn't ready.
 */
const CUTOFF_MS = 2_800;

/** Time before the end of the grace period at which calls that still run are ended, in ms. */
const GRACE_PERIOD_MARGIN_MS = 700;

/** A request that is to be answered within the grace. */
export interface StopCandidate {
  route: Route;
  /** Monotonic time of its deadline, in ms. */
  deadlineAt: number;
}

/** The planned stop of one router, if it has begun. */
export class PlannedStop {
  private readonly clock: Clock;
  private readonly durations = new Map<string, DurationEstimate>();
  /** Monotonic times, in ms; undefined before the stop begins. */
  private times: { cutoffAt: number; endsAt: number } | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Begins the stop; the process ends in `graceMs`. What is asked later doesn't move its end. */
  begin(graceMs: number): void {
    if (this.times !== undefined) return;
    const now = this.clock.monotonic();
    this.times = { cutoffAt: now + CUTOFF_MS, endsAt: now + graceMs - GRACE_PERIOD_MARGIN_MS };
  }

  get hasBegun(): boolean {
    return this.times !== undefined;
  }

  /** Requests that begin now are refused. */
  get isPastCutoff(): boolean {
    return this.times !== undefined && this.clock.monotonic() >= this.times.cutoffAt;
  }

  /** Time until the calls that still run are ended, in ms; infinite before the stop begins. */
  get leftMs(): number {
    if (this.times === undefined) return Number.POSITIVE_INFINITY;
    return this.times.endsAt - this.clock.monotonic();
  }

  /** Whether a request may be sent to an endpoint now; always true before the stop begins. */
  canHold({ route, deadlineAt }: StopCandidate): boolean {
    if (this.times === undefined) return true;
    return fitsGrace({
      graceLeftMs: this.leftMs,
      deadlineLeftMs: deadlineAt - this.clock.monotonic(),
      duration: this.durations.get(route.name)?.expected,
      isPastCutoff: this.isPastCutoff,
      isResumable: isResumableStream(route),
    });
  }

  /** Records how long an endpoint took for a complete answer on a route. */
  recordDuration(route: string, elapsedMs: number): void {
    const estimate = this.durations.get(route) ?? new DurationEstimate();
    estimate.record(elapsedMs);
    this.durations.set(route, estimate);
  }

  /** Forgets the routes that are no longer in force. */
  recordRoutes({ routes }: RoutingTable): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.durations.keys()) if (!names.has(name)) this.durations.delete(name);
  }
}
