/**
 * Limits the new connections that a router accepts while it has too little processor time. The others are closed
 * at once, before anything is read from them.
 *
 * Load pattern: callers connect at several times the rate that a router can serve. Connections then wait until
 * their callers have given up; the router reads them all the same and serves nobody in time. A caller whose
 * connection is closed at once tries another router while it still can be on time.
 *
 * The rate follows the utilization by additive increase and multiplicative decrease.
 */

/** Utilization from which on the rate falls, and below which it rises. */
const UTILIZATION = { high: 0.93, low: 0.88 };

/** Factor on the rate in each step at a high utilization. */
const DECREASE = 0.93;

/** Rise of the rate in each step at a low utilization, in connections a second. */
const INCREASE_PER_SECOND = 2;

/**
 * Lowest rate, in connections a second. A router that is overloaded with fewer is busy with other work, and turning
 * them away wouldn't relieve it.
 */
const MIN_PER_SECOND = 50;

/** Weight of the previous value in the moving average of the accepted connections, which spans about a second. */
const ACCEPTED_DECAY = 0.95;

const MS_PER_SECOND = 1_000;

/** Load of the router's event loop. */
export interface EventLoopLoad {
  isOverloaded: boolean;
  /** Mean fraction of time in which the event loop has work, in 0..1. */
  utilization: number;
}

/** Token bucket of the connections that one router accepts. */
export class ConnectionRate {
  private acceptedPerSecond = 0;
  private acceptedInStep = 0;
  /** Undefined while the router accepts all connections. */
  private limitPerSecond: number | undefined;
  private tokens = 0;
  private steppedAt: number | undefined;

  /** Whether connections are accepted now. */
  get isOpen(): boolean {
    return this.limitPerSecond === undefined || this.tokens >= 1;
  }

  /** Records a connection that was accepted. */
  recordAccepted(): void {
    this.acceptedInStep += 1;
    if (this.limitPerSecond !== undefined) this.tokens -= 1;
  }

  /** Adjusts the rate; called at short, even intervals. */
  step({ isOverloaded, utilization }: EventLoopLoad, now: number): void {
    const elapsedS = (now - (this.steppedAt ?? now)) / MS_PER_SECOND;
    this.steppedAt = now;
    this.measureAccepted(elapsedS);
    if (!isOverloaded) {
      this.limitPerSecond = undefined;
      return;
    }
    const limit = this.adjust(this.limitPerSecond ?? this.acceptedPerSecond, utilization);
    this.limitPerSecond = Math.max(MIN_PER_SECOND, limit);
    const capacity = Math.max(1, this.limitPerSecond * elapsedS);
    this.tokens = Math.min(capacity, Math.max(0, this.tokens) + this.limitPerSecond * elapsedS);
  }

  private adjust(limitPerSecond: number, utilization: number): number {
    if (utilization >= UTILIZATION.high) return limitPerSecond * DECREASE;
    if (utilization < UTILIZATION.low) return limitPerSecond + INCREASE_PER_SECOND;
    return limitPerSecond;
  }

  private measureAccepted(elapsedS: number): void {
    if (elapsedS <= 0) return;
    const perSecond = this.acceptedInStep / elapsedS;
    this.acceptedInStep = 0;
    this.acceptedPerSecond =
      this.acceptedPerSecond * ACCEPTED_DECAY + perSecond * (1 - ACCEPTED_DECAY);
  }
}
