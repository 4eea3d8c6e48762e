/**
 * Damping of members that go down and come back again and again: each change costs a penalty that
 * halves with time, and above a threshold the member is left out of the overlay until the penalty is
 * low again. Two thresholds keep it from switching on every small change.
 */

/** Time in which a penalty halves. */
export const PENALTY_HALF_LIFE_MS = 60_000;

/** Penalty from which on a member is damped; one change costs 1. */
export const DAMPING_THRESHOLD = 3;

/** Penalty below which it is damped no longer. */
export const RELEASE_THRESHOLD = 1;

interface Penalty {
  value: number;
  updatedAt: number;
  isDamped: boolean;
}

/** Keeps the penalties of all members. */
export class FlapDamper {
  private readonly penalties = new Map<string, Penalty>();

  /** Notes that a member has gone down or has come back as another run. */
  recordFlap(host: string, now: number): void {
    const value = this.readPenalty(host, now) + 1;
    const isDamped = this.isDamped(host, now) || value >= DAMPING_THRESHOLD;
    this.penalties.set(host, { value, updatedAt: now, isDamped });
  }

  isDamped(host: string, now: number): boolean {
    const penalty = this.penalties.get(host);
    if (penalty === undefined) return false;
    return penalty.isDamped && decay(penalty, now) >= RELEASE_THRESHOLD;
  }

  /** Hosts that are damped now; forgets those with next to no penalty. */
  listDamped(now: number): string[] {
    for (const [host, penalty] of this.penalties) {
      if (decay(penalty, now) < RELEASE_THRESHOLD / 2) this.penalties.delete(host);
    }
    return [...this.penalties.keys()].filter((host) => this.isDamped(host, now));
  }

  private readPenalty(host: string, now: number): number {
    const penalty = this.penalties.get(host);
    return penalty === undefined ? 0 : decay(penalty, now);
  }
}

function decay({ value, updatedAt }: Penalty, now: number): number {
  return value * 0.5 ** ((now - updatedAt) / PENALTY_HALF_LIFE_MS);
}
