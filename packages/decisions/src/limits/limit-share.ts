/**
 * A router's part of the requests that one endpoint takes from all routers together. Each router tells its peers
 * how many requests a second it would send there, its need, and takes the part of the limit that its need is of
 * the sum. All parts together are the limit, whichever router the callers reach. While the sum is below the limit,
 * nobody is held back.
 *
 * A router that isn't heard, or doesn't tell a need, is assumed to need as much as this one. A router that hears
 * nobody therefore takes the limit divided by the number of routers.
 */
import { RATE_WINDOW_S } from './request-rate.ts';

/** What is known of the need of the routers in one subject of reports: one router, or those of a data centre. */
export interface PeerNeed {
  /** Requests a second that these routers would send to the endpoint. */
  perSecond: number;
  /** Routers that have told their need. */
  routers: number;
}

/** A subject of reports whose latest report is valid. */
export interface PeerGroup {
  subject: string;
  /** Routers that it stands for. */
  routers: number;
}

/** The routers that may send to an endpoint, apart from this one. */
export interface PeerRouters {
  groups: readonly PeerGroup[];
  /** Routers that were heard of lately and belong to no group now. */
  missing: number;
}

/** Time for which a told need holds that isn't repeated, in ms; several reports are missing by then. */
const NEED_TTL_MS = 1_000;

/** Needs that the peers have told for one endpoint. */
export class PeerNeeds {
  private readonly needs = new Map<string, PeerNeed & { receivedAt: number }>();

  /** Stores a need, replacing the previous one of the same subject. */
  apply(subject: string, need: PeerNeed, now: number): void {
    this.needs.set(subject, { ...need, receivedAt: now });
  }

  /** Need of all other routers in requests a second; `own` is that of this one. */
  sum(own: number, { groups, missing }: PeerRouters, now: number): number {
    this.dropExpired(now);
    let sum = missing * own;
    for (const { subject, routers } of groups) {
      const told = this.needs.get(subject) ?? { perSecond: 0, routers: 0 };
      sum += told.perSecond + Math.max(0, routers - told.routers) * own;
    }
    return sum;
  }

  private dropExpired(now: number): void {
    for (const [subject, { receivedAt }] of this.needs) {
      if (now - receivedAt > NEED_TTL_MS) this.needs.delete(subject);
    }
  }
}

/** Fraction of the limit up to which the sum of all needs is served without a bound on each router. */
const UNBOUNDED_FRACTION = 0.8;

/** Time of its part that a router may save up for a burst, in s. */
const BURST_S = 0.5;

const MS_PER_SECOND = 1_000;

/** Inputs of a router's part. */
export interface ShareInput {
  /** Requests a second that the endpoint takes; undefined without a limit. */
  limitPerSecond: number | undefined;
  /** Requests a second that this router would send. */
  ownNeed: number;
  /** Requests a second that this router has sent lately. */
  ownSent: number;
  /** Requests a second that all others would send. */
  peerNeed: number;
}

/** Token bucket of one router at one endpoint, refilled with the router's part of the limit. */
export class LimitShare {
  private readonly random: () => number;
  private isBounded = false;
  private perSecond = 0;
  private tokens = 0;
  private refilledAt = Number.NEGATIVE_INFINITY;

  /** `random` returns numbers in [0, 1). */
  constructor(random: () => number) {
    this.random = random;
  }

  /** Part of this router in requests a second; undefined while it is not bounded. */
  get partPerSecond(): number | undefined {
    return this.isBounded ? this.perSecond : undefined;
  }

  /** Computes the part anew. */
  update({ limitPerSecond, ownNeed, ownSent, peerNeed }: ShareInput, now: number): void {
    const need = ownNeed + peerNeed;
    if (limitPerSecond === undefined || need < limitPerSecond * UNBOUNDED_FRACTION) {
      this.isBounded = false;
      return;
    }
    const fraction = need === 0 ? 0 : ownNeed / need;
    const perSecond = limitPerSecond * fraction;
    if (this.isBounded) this.refill(now);
    else this.start(ownSent - perSecond, now);
    this.perSecond = perSecond;
  }

  /** Whether a request may be sent now. */
  hasToken(now: number): boolean {
    if (!this.isBounded) return true;
    this.refill(now);
    return this.tokens >= 1;
  }

  /** Counts a request that is sent. */
  take(now: number): void {
    if (!this.isBounded) return;
    this.refill(now);
    this.tokens -= 1;
  }

  /** Time until a request may be sent, in ms; infinite if this router has no part. */
  waitMs(now: number): number {
    if (this.hasToken(now)) return 0;
    return ((1 - this.tokens) / this.perSecond) * MS_PER_SECOND;
  }

  /**
   * Begins with a part of a token, so that the routers of a large fleet don't all send their first one together.
   * What this router has lately sent beyond its part, `excessPerSecond`, counts against it.
   */
  private start(excessPerSecond: number, now: number): void {
    this.isBounded = true;
    this.tokens = this.random() - Math.max(0, excessPerSecond) * RATE_WINDOW_S;
    this.refilledAt = now;
  }

  private refill(now: number): void {
    const elapsedS = Math.max(0, now - this.refilledAt) / MS_PER_SECOND;
    const capacity = Math.max(1, this.perSecond * BURST_S);
    this.tokens = Math.min(capacity, this.tokens + this.perSecond * elapsedS);
    this.refilledAt = now;
  }
}
