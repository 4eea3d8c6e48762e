/**
 * How far requests beyond their workspace's share may queue at the endpoints of one pool. Pattern: on
 * a quiet day there is room for them, and refusing them serves nobody; at the worst load each one makes
 * a request within its share late. The share of those that are late, lately and at all routers, tells
 * the one from the other.
 */

/** Weight of one request in the rate of late ones: it remembers some thirty requests. */
const WEIGHT = 0.03;

/** Rates of late requests: up to the first there is room, from the second on there is none. */
const LATE_RATE = { calm: 0.004, pressed: 0.025 };

/** Longest wait of a request beyond its share, in objectives, when calm and when pressed. */
const LIMIT = { calm: 0.3, pressed: 0.03 };

/** Part of the objective that reading a prompt alone may take before lateness says nothing of the load. */
const OWN_READING_SHARE = 0.6;

/** A request within its share that has had its first event. */
export interface ServedRequest {
  objectiveMs: number;
  firstEventMs: number;
  /** Time that it would have taken without any wait, in ms. */
  serviceMs: number;
}

/** Watches the requests within their shares. */
export class SurplusLimiter {
  private smoothedLateRate = 0;

  recordServed(request: ServedRequest): void {
    if (request.serviceMs > request.objectiveMs * OWN_READING_SHARE) return;
    this.note(request.firstEventMs > request.objectiveMs);
  }

  /** Notes a request within its share that was refused since it would have been late. */
  recordRefused(): void {
    this.note(true);
  }

  /** Share of late requests that this router has seen lately. */
  get lateRate(): number {
    return this.smoothedLateRate;
  }

  /** Longest wait of a request beyond its share, in objectives; `peerRates` are those of the others. */
  waitLimit(peerRates: readonly number[] = []): number {
    const { calm, pressed } = LATE_RATE;
    const rate = [this.smoothedLateRate, ...peerRates].reduce((sum, one) => sum + one, 0);
    const mean = rate / (peerRates.length + 1);
    const pressure = Math.min(1, Math.max(0, (mean - calm) / (pressed - calm)));
    return LIMIT.calm + (LIMIT.pressed - LIMIT.calm) * pressure;
  }

  private note(isLate: boolean): void {
    this.smoothedLateRate += WEIGHT * ((isLate ? 1 : 0) - this.smoothedLateRate);
  }
}
