/**
 * The limit of one incarnation of an endpoint at one router: what the endpoint has named, what the routers need,
 * and whether this router may send it another request now.
 */
import { LimitPrice } from './limit-price.ts';
import { LimitShare, PeerNeeds } from './limit-share.ts';
import type { PeerRouters } from './limit-share.ts';
import { LimitStatements } from './limit-statements.ts';
import { RequestRate } from './request-rate.ts';

/**
 * Least limit that is shared out, in requests a second: an endpoint that takes nothing gets a request now and then,
 * since only its responses tell that it takes some again.
 */
const MIN_LIMIT_PER_SECOND = 0.5;

/** Options of an `EndpointLimit`. */
export interface EndpointLimitOptions {
  /** Returns numbers in [0, 1); `Math.random` by default. */
  random?: (() => number) | undefined;
}

/** Keeps the limit of one endpoint. */
export class EndpointLimit {
  readonly statements = new LimitStatements();
  readonly peerNeeds = new PeerNeeds();
  private readonly needed = new RequestRate();
  private readonly sent = new RequestRate();
  private readonly price = new LimitPrice();
  private readonly share: LimitShare;

  constructor({ random = Math.random }: EndpointLimitOptions = {}) {
    this.share = new LimitShare(random);
  }

  /** Records a request that would be sent, had this router not used up its part of the limit. */
  recordDiverted(now: number): void {
    this.needed.record(now);
  }

  /** Records a request that is sent. */
  recordSent(now: number): void {
    this.needed.record(now);
    this.sent.record(now);
    this.share.take(now);
  }

  /** Computes this router's part of the limit anew. */
  refresh(peers: PeerRouters, now: number): void {
    const named = this.statements.current(now);
    const limitPerSecond = named === undefined ? undefined : Math.max(named, MIN_LIMIT_PER_SECOND);
    const ownNeed = this.neededPerSecond(now);
    const peerNeed = this.peerNeeds.sum(ownNeed, peers, now);
    const ownSent = this.sentPerSecond(now);
    this.share.update({ limitPerSecond, ownNeed, ownSent, peerNeed }, now);
    if (limitPerSecond === undefined) this.price.reset();
    else this.price.update((ownNeed + peerNeed) / limitPerSecond, now);
  }

  /** Cost of a request with a prompt because of the limit, in tokens. */
  get priceTokens(): number {
    return this.price.tokens;
  }

  /** Whether this router has used up its part of the limit for now. */
  isExhausted(now: number): boolean {
    return !this.share.hasToken(now);
  }

  /** Time until this router may send a request, in ms. */
  waitMs(now: number): number {
    return this.share.waitMs(now);
  }

  /** Requests a second that this router would send. */
  neededPerSecond(now: number): number {
    return this.needed.perSecond(now);
  }

  /** Requests a second that this router sends. */
  sentPerSecond(now: number): number {
    return this.sent.perSecond(now);
  }

  /** This router's part of the limit in requests a second; undefined while it is not bounded. */
  get partPerSecond(): number | undefined {
    return this.share.partPerSecond;
  }
}

/** Bounds of the retry-after time of a request that found all endpoints at their limits, in ms. */
const RETRY_AFTER_BOUNDS_MS = { min: 250, max: 2_000 };

/**
 * Retry-after time in ms of a request that found all endpoints of its pool at their limits, the first of them for
 * another `waitMs`. Others wait for the same place, so the callers are spread over a time as long again.
 */
export function retryAfterLimitMs(waitMs: number, random: number): number {
  const { min, max } = RETRY_AFTER_BOUNDS_MS;
  return Math.min(max, Math.max(min, waitMs)) * (1 + random);
}
