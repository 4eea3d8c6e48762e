/**
 * Retry budget that all routers share without coordination. Each router earns retries in proportion to the
 * requests that it sends itself, and gets an equal part of the fleet-wide slack. The sum over all routers
 * stays within ratio x requests + slack in every window. This prevents retry storms: if all endpoints of a
 * pool fail at once, retrying every request would double the load on the remaining endpoints.
 *
 * What a router has earned it may save for half a window, so that it can repeat the requests of an endpoint that fails
 * at once. The two parts are kept apart, since an equal part of the slack of many routers is less than one retry.
 *
 * The bound: let x, y and z be the requests of three half windows in a row. In the latter two, at most SAVED_FRACTION
 * of x and EARNED_FRACTION of y + z is spent, each times the ratio. The fractions add up to 1, so this is at most the
 * larger one of x + y and y + z, times the ratio. Of the slack at most SLACK_FRACTION is spent, and as the bucket of a
 * process that starts is at most full, each router may start again once in a window besides.
 */
import { RequestCount } from './request-count.ts';

/** Fraction of what requests earn that is credited. */
const EARNED_FRACTION = 0.6;

/** Fraction of what the requests of the last half window earn that can be saved. */
const SAVED_FRACTION = 1 - EARNED_FRACTION;

/** Fraction of the slack that all routers together take in a window. The rest is a margin for those that join or restart. */
const SLACK_FRACTION = 0.5;

/** Fraction of a router's part of the slack that can be saved; the rest is refilled within a window. */
const SAVED_SLACK_FRACTION = 2 / 3;

/** Largest part of the slack that a new process has at once, in retries. */
const INITIAL_SLACK = 1;

/** Windows in which the number of routers that counts falls to a third, so that silent ones count for a while. */
const ROUTERS_DECAY_WINDOWS = 2;

/** Fraction of the most that can be saved from which on a retry can be spared for a hedge. */
const SPARE_FRACTION = 0.9;

/** Options of a `SharedRetryBudget`. */
export interface SharedRetryBudgetOptions {
  /** Retries per request. */
  ratio: number;
  /** Additional retries per window, over all routers. */
  slack: number;
  /** Length of the sliding window, in ms. */
  windowMs: number;
}

/** Token bucket of the retries that one router may make at one pool. */
export class SharedRetryBudget {
  private readonly options: SharedRetryBudgetOptions;
  /** Requests of the last half window. */
  private readonly requests: RequestCount;
  /** Saved retries that requests have earned. */
  private earned = 0;
  /** Saved retries of this router's part of the slack; undefined until the first refill. */
  private slack: number | undefined;
  private refilledAt = 0;
  /** Routers that share the slack. */
  private routers = 1;

  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
    this.requests = new RequestCount(options.windowMs / 2);
  }

  /** Records the first attempt of a request, which earns a fraction of a retry. */
  recordRequest(routers: number, now: number): void {
    this.requests.record(now);
    this.earned += this.options.ratio * EARNED_FRACTION;
    this.refill(routers, now);
  }

  /** Retries left as of the last update. */
  get remaining(): number {
    return this.earned + (this.slack ?? 0);
  }

  /** Whether the budget has a retry to take. */
  hasRetry(routers: number, now: number): boolean {
    this.refill(routers, now);
    return this.remaining >= 1;
  }

  /** Whether hardly any retries were taken lately, so that one can be spent on what is less urgent than a retry. */
  hasSpare(routers: number, now: number): boolean {
    if (!this.hasRetry(routers, now)) return false;
    const capacity = this.slackCapacity + this.earnedCapacity(now);
    return this.remaining >= capacity * SPARE_FRACTION;
  }

  /** Takes one retry from the budget, first from what was earned, since that expires; false if none is left. */
  tryAcquire(routers: number, now: number): boolean {
    if (!this.hasRetry(routers, now)) return false;
    const ofEarned = Math.min(1, this.earned);
    this.earned -= ofEarned;
    this.slack = (this.slack ?? 0) - (1 - ofEarned);
    return true;
  }

  /** Drops what has expired, and refills this router's part of the slack. */
  private refill(routers: number, now: number): void {
    const { windowMs } = this.options;
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = now;
    const decay = Math.exp(-elapsedMs / (ROUTERS_DECAY_WINDOWS * windowMs));
    this.routers = Math.max(1, routers, this.routers * decay);
    this.earned = Math.min(this.earned, this.earnedCapacity(now));
    const refillAmount = ((1 - SAVED_SLACK_FRACTION) * this.slackPart * elapsedMs) / windowMs;
    const refilled = this.slack === undefined ? INITIAL_SLACK : this.slack + refillAmount;
    this.slack = Math.min(this.slackCapacity, refilled);
  }

  /** This router's part of the slack in one window. */
  private get slackPart(): number {
    return (this.options.slack * SLACK_FRACTION) / this.routers;
  }

  /** The most of the slack that can be saved. */
  private get slackCapacity(): number {
    return this.slackPart * SAVED_SLACK_FRACTION;
  }

  /** The most that can be saved of what requests earn. */
  private earnedCapacity(now: number): number {
    return this.options.ratio * SAVED_FRACTION * this.requests.countAt(now);
  }
}
