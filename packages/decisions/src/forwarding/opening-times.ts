/**
 * How long connections to endpoints take to open. A link that is congested delays them all, whatever their endpoints do;
 * an endpoint that is dark, or can't be reached, delays only its own.
 */

/** Time for which an opening counts, in ms. */
const WINDOW_MS = 1_000;

/** Time that a connection over a link with room doesn't take to open, in ms. */
const SLOW_MS = 200;

/** Least number of endpoints, and least fraction of them, with a slow opening. */
const CONGESTION = { endpoints: 4, fraction: 0.8 };

interface Opening {
  elapsedMs: number;
  at: number;
}

/** The latest opening at each endpoint. */
export class OpeningTimes {
  private readonly openings = new Map<string, Opening>();

  /** Records that a connection to `address` took `elapsedMs` to open, to be refused or to time out. */
  record(address: string, elapsedMs: number, now: number): void {
    this.openings.set(address, { elapsedMs, at: now });
  }

  /** True if connections to nearly all of several endpoints have opened slowly. */
  areSlow(now: number): boolean {
    const times = this.latest(now);
    if (times.length < CONGESTION.endpoints) return false;
    const slow = times.filter((elapsedMs) => elapsedMs >= SLOW_MS).length;
    return slow >= times.length * CONGESTION.fraction;
  }

  /** Median time to open, in ms; undefined without openings. */
  medianMs(now: number): number | undefined {
    const times = this.latest(now).sort((a, b) => a - b);
    return times[Math.floor(times.length / 2)];
  }

  /** The times that count, one for each endpoint; drops the others. */
  private latest(now: number): number[] {
    for (const [address, { at }] of this.openings) {
      if (now - at > WINDOW_MS) this.openings.delete(address);
    }
    return Array.from(this.openings.values(), ({ elapsedMs }) => elapsedMs);
  }
}
