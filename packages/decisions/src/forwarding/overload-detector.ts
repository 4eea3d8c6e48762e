/**
 * Decides whether a router has too little processor time for its calls. An overloaded router still responds
 * to a readiness check, while its callers wait for seconds to be read. It therefore has to ask the load
 * balancer for fewer connections, and to do so long enough for its callers to move to other routers.
 *
 * The measure is the utilization of the event loop: the fraction of time in which the loop has work. At
 * full utilization, calls queue in front of the router, where they are not counted anywhere.
 */

/** Time that the moving average of the utilization spans, in ms. */
const AVERAGING_MS = 800;

/** Mean utilizations at which an overload begins and at which it may end. */
const OVERLOAD_UTILIZATION = { begin: 0.93, end: 0.7 };

/**
 * Shortest time for which an overload is reported, in ms. A load balancer takes a few seconds to notice, so
 * the callers would return before all of them have moved. The time doubles each time that the router is
 * overloaded again soon after its callers returned.
 */
const OVERLOAD_HOLD_MS = { initial: 5_000, max: 20_000 };

/** Time after the end of an overload within which another one shows that the callers were too many, in ms. */
const RELAPSE_MS = 6_000;

/** Time after the begin of an overload at which the load balancer sends new connections elsewhere, in ms. */
const BALANCER_REACTION_MS = 2_500;

/** Time after the first sample in which a router that has just started may be busy, in ms. */
const WARM_UP_MS = 3_000;

/** Detects the overload of one router. */
export class OverloadDetector {
  private mean = 0;
  private firstSampleAt: number | undefined;
  private lastSampleAt: number | undefined;
  private overloadedSince: number | undefined;
  private lastEndedAt = Number.NEGATIVE_INFINITY;
  private holdMs = OVERLOAD_HOLD_MS.initial;

  /** Records the utilization (0 to 1) of the event loop since the previous sample. */
  record(utilization: number, now: number): void {
    const elapsedMs = now - (this.lastSampleAt ?? now);
    this.firstSampleAt ??= now;
    this.lastSampleAt = now;
    const weight = Math.min(1, elapsedMs / AVERAGING_MS);
    this.mean += weight * (utilization - this.mean);
    if (this.overloadedSince === undefined) this.detectBegin(this.firstSampleAt, now);
    else this.detectEnd(this.overloadedSince, now);
  }

  private detectBegin(firstSampleAt: number, now: number): void {
    const isWarm = now - firstSampleAt >= WARM_UP_MS;
    if (!isWarm || this.mean < OVERLOAD_UTILIZATION.begin) return;
    const isRelapse = now - this.lastEndedAt < RELAPSE_MS;
    this.holdMs = isRelapse
      ? Math.min(OVERLOAD_HOLD_MS.max, this.holdMs * 2)
      : OVERLOAD_HOLD_MS.initial;
    this.overloadedSince = now;
  }

  private detectEnd(overloadedSince: number, now: number): void {
    const isHeld = now - overloadedSince < this.holdMs;
    if (isHeld || this.mean > OVERLOAD_UTILIZATION.end) return;
    this.overloadedSince = undefined;
    this.lastEndedAt = now;
  }

  /** Moving average of the utilization, in 0..1. */
  get utilization(): number {
    return this.mean;
  }

  /** True while the router should get no new connections. */
  get isOverloaded(): boolean {
    return this.overloadedSince !== undefined;
  }

  /** True if callers that reconnect reach another router, so that their connections may be closed. */
  shouldMoveCallers(now: number): boolean {
    return this.overloadedSince !== undefined && now - this.overloadedSince >= BALANCER_REACTION_MS;
  }
}
