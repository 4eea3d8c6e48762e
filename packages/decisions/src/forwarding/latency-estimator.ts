/**
 * Latency estimates for the endpoints of one pool, learned from served requests. A linear regression with
 * exponential decay models the time to the first event as a function of the prompt tokens prefilled until
 * then. Each endpoint has a latency ratio that scales this model.
 */

/** Factor by which each new observation reduces the weight of the earlier ones. */
const REGRESSION_DECAY = 0.99;

/** Total weight of the observations from which the regression replaces the initial line. */
const MIN_WEIGHT = 10;

/** Line that is used before there are enough observations. */
const INITIAL_LINE = { baseMs: 30, msPerToken: 0.02 };

/** Plausible range of the prefill time per token, in ms. A slope outside it reflects other effects. */
const MS_PER_TOKEN_BOUNDS = { min: 0.002, max: 0.1 };

/** Weight of the previous value in the moving averages of latency ratios and request durations. */
const AVERAGE_DECAY = 0.9;

/** Bounds of one observed latency ratio, which limit the effect of outliers. */
const RATIO_BOUNDS = { min: 0.4, max: 6 };

/** Estimates the latencies of one pool and its endpoints. */
export class LatencyEstimator {
  // Sums of the regression: x is the number of tokens and y the time to the first event in ms.
  private observationWeight = 0;
  private sumX = 0;
  private sumY = 0;
  private sumXX = 0;
  private sumXY = 0;
  private readonly ratios = new Map<string, number>();
  private averageDurationMs = 1_000;
  /** The fitted line; undefined after an observation. Placement reads it for every endpoint. */
  private line: { baseMs: number; msPerToken: number } | undefined;

  /** Records a first event `elapsedMs` after sending, until which the endpoint prefilled `tokens`. */
  recordFirstEvent(endpoint: string, tokens: number, elapsedMs: number): void {
    const expectedMs = this.predictPoolMs(tokens);
    const ratio = clamp(elapsedMs / expectedMs, RATIO_BOUNDS.min, RATIO_BOUNDS.max);
    const previousRatio = this.ratios.get(endpoint) ?? 1;
    this.ratios.set(endpoint, previousRatio * AVERAGE_DECAY + ratio * (1 - AVERAGE_DECAY));
    this.line = undefined;
    this.observationWeight = this.observationWeight * REGRESSION_DECAY + 1;
    this.sumX = this.sumX * REGRESSION_DECAY + tokens;
    this.sumY = this.sumY * REGRESSION_DECAY + elapsedMs;
    this.sumXX = this.sumXX * REGRESSION_DECAY + tokens * tokens;
    this.sumXY = this.sumXY * REGRESSION_DECAY + tokens * elapsedMs;
  }

  /** Records the total duration of a request. */
  recordDuration(elapsedMs: number): void {
    this.averageDurationMs =
      this.averageDurationMs * AVERAGE_DECAY + elapsedMs * (1 - AVERAGE_DECAY);
  }

  /** Moving average of the time for which a request occupies a slot, in ms. */
  get meanDurationMs(): number {
    return this.averageDurationMs;
  }

  /** Expected time to prefill `tokens` at an endpoint, in ms, without the fixed time per request. */
  estimatePrefillMs(endpoint: string, tokens: number): number {
    return tokens * this.fitLine().msPerToken * this.latencyRatio(endpoint);
  }

  /** Expected time to the first event of a request that must prefill `tokens`, in ms. */
  estimateFirstEventMs(endpoint: string, tokens: number): number {
    return this.predictPoolMs(tokens) * this.latencyRatio(endpoint);
  }

  removeEndpoint(endpoint: string): void {
    this.ratios.delete(endpoint);
  }

  /** Latency of an endpoint relative to the pool's model; above 1 is slower. */
  latencyRatio(endpoint: string): number {
    return this.ratios.get(endpoint) ?? 1;
  }

  /** Slope of the regression line, in ms per token. */
  private fitMsPerToken(): number {
    const denominator = this.observationWeight * this.sumXX - this.sumX * this.sumX;
    if (denominator <= 0) return INITIAL_LINE.msPerToken;
    const slope = (this.observationWeight * this.sumXY - this.sumX * this.sumY) / denominator;
    return clamp(slope, MS_PER_TOKEN_BOUNDS.min, MS_PER_TOKEN_BOUNDS.max);
  }

  /** Time to the first event that the pool's model predicts, in ms. */
  private predictPoolMs(tokens: number): number {
    const { baseMs, msPerToken } = this.fitLine();
    return baseMs + msPerToken * tokens;
  }

  private fitLine(): { baseMs: number; msPerToken: number } {
    if (this.observationWeight < MIN_WEIGHT) return INITIAL_LINE;
    if (this.line !== undefined) return this.line;
    const msPerToken = this.fitMsPerToken();
    const baseMs = Math.max(1, (this.sumY - msPerToken * this.sumX) / this.observationWeight);
    this.line = { baseMs, msPerToken };
    return this.line;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
