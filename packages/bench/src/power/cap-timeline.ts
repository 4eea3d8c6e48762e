/**
 * The cap that holds at each moment of a run with switches. A published cap is in flight from the end
 * of the time that it may take to reach everywhere until the settle time after its successor; the cap
 * that holds is the lowest in flight.
 */

/** Options of a `CapTimeline`. */
export interface CapTimelineOptions {
  /** Time that a published cap may take to be in force everywhere. */
  propagationMs: number;
  settleMs: number;
}

interface PublishedCap {
  watts: number;
  publishedAt: number;
  supersededAt: number;
}

/** The caps of one data centre. Times in milliseconds, in rising order. */
export class CapTimeline {
  private readonly options: CapTimelineOptions;
  private readonly caps: PublishedCap[] = [];

  constructor(options: CapTimelineOptions) {
    this.options = options;
  }

  publish(watts: number, now: number): void {
    const last = this.caps.at(-1);
    if (last !== undefined) last.supersededAt = now;
    this.caps.push({ watts, publishedAt: now, supersededAt: Infinity });
  }

  /** Lowest cap in flight; infinite before the first is. */
  effectiveCapAt(now: number): number {
    const { propagationMs, settleMs } = this.options;
    const inFlight = this.caps.filter(
      (cap) => cap.publishedAt + propagationMs <= now && now < cap.supersededAt + settleMs,
    );
    return Math.min(Infinity, ...inFlight.map((cap) => cap.watts));
  }
}
