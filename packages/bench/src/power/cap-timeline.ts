/**
 * Computes the effective power cap at each moment of a run with cap changes. A published cap is active
 * from `propagationMs` after its publication until `settleMs` after the publication of its successor;
 * the effective cap is the lowest active one.
 */

/** Options of a `CapTimeline`. */
export interface CapTimelineOptions {
  /** Time within which a published cap is in force in all processes. */
  propagationMs: number;
  /** Time for which a superseded cap still counts. */
  settleMs: number;
}

interface PublishedCap {
  watts: number;
  publishedAt: number;
  supersededAt: number;
}

/** Caps of one data centre. Times are in milliseconds and must not decrease. */
export class CapTimeline {
  private readonly options: CapTimelineOptions;
  private readonly caps: PublishedCap[] = [];

  constructor(options: CapTimelineOptions) {
    this.options = options;
  }

  /** Adds a cap that supersedes the last one. */
  publish(watts: number, now: number): void {
    const last = this.caps.at(-1);
    if (last !== undefined) last.supersededAt = now;
    this.caps.push({ watts, publishedAt: now, supersededAt: Infinity });
  }

  /** Returns the lowest active cap, or `Infinity` if none is active. */
  effectiveCapAt(now: number): number {
    const { propagationMs, settleMs } = this.options;
    const activeCaps = this.caps.filter(
      (cap) => cap.publishedAt + propagationMs <= now && now < cap.supersededAt + settleMs,
    );
    return Math.min(Infinity, ...activeCaps.map((cap) => cap.watts));
  }
}
