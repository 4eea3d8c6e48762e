/**
 * Price of a request at an endpoint that takes a limited number of them, as a cost in placement. A limit counts
 * requests, not their size, so the endpoint serves most if it gets the requests that cost most elsewhere. The price
 * rises while more requests need the endpoint than it takes, and falls again, until slightly more need it than it
 * takes. Requests for which the endpoint is worth less then go elsewhere by themselves.
 */

/** Price from which a rise begins, in tokens; a fall that reaches it ends at no price. */
const MIN_PRICE_TOKENS = 100;

/** Largest price, in tokens, as a bound while nothing else can serve the requests. */
const MAX_PRICE_TOKENS = 20_000;

/** Requests that need the endpoint at a steady price, as a fraction of those that it takes. */
const STEADY_NEED_FRACTION = 1.2;

/** Speed of a change, per second, while twice as many requests need the endpoint as at a steady price. */
const CHANGE_PER_S = 1;

/** Longest time that one update accounts for, in ms. */
const MAX_STEP_MS = 500;

const MS_PER_SECOND = 1_000;

/** The price of one limited endpoint. */
export class LimitPrice {
  private price = 0;
  private updatedAt = Number.NEGATIVE_INFINITY;

  /** Cost of a request, in tokens. */
  get tokens(): number {
    return this.price;
  }

  /** Updates the price. `needFraction` is what all routers would send as a fraction of the limit. */
  update(needFraction: number, now: number): void {
    const elapsedS = Math.min(MAX_STEP_MS, now - this.updatedAt) / MS_PER_SECOND;
    this.updatedAt = now;
    const excess = Math.min(1, needFraction / STEADY_NEED_FRACTION - 1);
    const price =
      Math.max(MIN_PRICE_TOKENS, this.price) * Math.exp(excess * CHANGE_PER_S * elapsedS);
    this.price = price < MIN_PRICE_TOKENS ? 0 : Math.min(MAX_PRICE_TOKENS, price);
  }

  /** Ends the price together with the limit. */
  reset(): void {
    this.price = 0;
  }
}
