/**
 * Speed of the endpoints of one pool, learned from requests that have been served: a straight line of
 * the time to the first event over the prompt tokens read until then, with old observations fading,
 * and for each endpoint how far it is off that line.
 */

/** Share of the past that one observation leaves. */
const FADE = 0.99;

/** Observations before the learned line replaces the first guess. */
const LEAST_WEIGHT = 10;

/** Line before anything was observed: time for no tokens in ms, and ms for each token. */
const FIRST_GUESS = { base: 30, perToken: 0.02 };

/** Bounds of the time for one token in ms; outside them the observations say something else. */
const PER_TOKEN_LIMITS = { least: 0.002, most: 0.1 };

const RATIO_FADE = 0.9;
const RATIO_LIMITS = { least: 0.4, most: 6 };

/** Learns how fast endpoints read. */
export class LatencyEstimator {
  private weight = 0;
  private sumX = 0;
  private sumY = 0;
  private sumXX = 0;
  private sumXY = 0;
  private readonly ratios = new Map<string, number>();
  private durationMs = 1_000;

  /** Notes that `tokens` were read until the first event came, `elapsedMs` after the request was sent. */
  recordFirstEvent(endpoint: string, tokens: number, elapsedMs: number): void {
    const expected = this.line(tokens);
    const ratio = clamp(elapsedMs / expected, RATIO_LIMITS.least, RATIO_LIMITS.most);
    const last = this.ratios.get(endpoint) ?? 1;
    this.ratios.set(endpoint, last * RATIO_FADE + ratio * (1 - RATIO_FADE));
    this.weight = this.weight * FADE + 1;
    this.sumX = this.sumX * FADE + tokens;
    this.sumY = this.sumY * FADE + elapsedMs;
    this.sumXX = this.sumXX * FADE + tokens * tokens;
    this.sumXY = this.sumXY * FADE + tokens * elapsedMs;
  }

  /** Notes how long a whole request took. */
  recordDuration(elapsedMs: number): void {
    this.durationMs = this.durationMs * RATIO_FADE + elapsedMs * (1 - RATIO_FADE);
  }

  /** Mean time that a request holds its slot, in ms. */
  get meanDurationMs(): number {
    return this.durationMs;
  }

  /** Expected time to read `tokens` at an endpoint, in ms, without the time that every request takes. */
  estimatePrefillMs(endpoint: string, tokens: number): number {
    return tokens * this.perToken() * this.latencyRatio(endpoint);
  }

  /** Expected time to the first event after `tokens` were read, in ms. */
  estimateFirstEventMs(endpoint: string, tokens: number): number {
    return this.line(tokens) * this.latencyRatio(endpoint);
  }

  removeEndpoint(endpoint: string): void {
    this.ratios.delete(endpoint);
  }

  /** How much slower than the pool an endpoint is. */
  latencyRatio(endpoint: string): number {
    return this.ratios.get(endpoint) ?? 1;
  }

  private perToken(): number {
    const spread = this.weight * this.sumXX - this.sumX * this.sumX;
    if (this.weight < LEAST_WEIGHT || spread <= 0) return FIRST_GUESS.perToken;
    const slope = (this.weight * this.sumXY - this.sumX * this.sumY) / spread;
    return clamp(slope, PER_TOKEN_LIMITS.least, PER_TOKEN_LIMITS.most);
  }

  private line(tokens: number): number {
    if (this.weight < LEAST_WEIGHT) return FIRST_GUESS.base + FIRST_GUESS.perToken * tokens;
    const perToken = this.perToken();
    const base = Math.max(1, (this.sumY - perToken * this.sumX) / this.weight);
    return base + perToken * tokens;
  }
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
