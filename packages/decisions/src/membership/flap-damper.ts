/**
 * Flap damping for members that repeatedly go down and come back. Each flap adds to a penalty that
 * decays exponentially. A member whose penalty reaches the damping threshold is excluded from the
 * overlay until the penalty has decayed below the release threshold. The two thresholds form a
 * hysteresis, so that a small change of the penalty does not switch the state.
 */

/** Half-life of a penalty. */
export const PENALTY_HALF_LIFE_MS = 60_000;

/** Penalty at which a member becomes damped; each flap adds 1. */
export const DAMPING_THRESHOLD = 3;

/** Penalty below which a damped member is released. */
export const RELEASE_THRESHOLD = 1;

interface Penalty {
  /** Penalty at `updatedAt`, before any decay since. */
  value: number;
  updatedAt: number;
  isDamped: boolean;
}

/** Tracks the flap penalties of all members. */
export class FlapDamper {
  private readonly penalties = new Map<string, Penalty>();

  /** Records that a member went down or restarted. */
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

  /** Lists the hosts that are damped at `now`, and deletes the penalties that have nearly decayed. */
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
