/**
 * Timeout for the responses of a service that usually takes a few ms. A timeout that is shorter than the round trip over a
 * congested link would fail every request and open a new connection for each, which adds to the congestion. So it
 * grows while requests time out, and shrinks once responses come well within it.
 */

/** Factor by which the timeout grows and shrinks. */
const FACTOR = 2;

/** Options of a `ResponseTimeout`. */
export interface ResponseTimeoutOptions {
  initialMs: number;
  maxMs: number;
}

/** A timeout that follows the response times. */
export class ResponseTimeout {
  private readonly options: ResponseTimeoutOptions;
  private timeoutMs: number;

  constructor(options: ResponseTimeoutOptions) {
    this.options = options;
    this.timeoutMs = options.initialMs;
  }

  /** Time to wait for the next response, in ms. */
  get currentMs(): number {
    return this.timeoutMs;
  }

  /** Records that there was no response in time. */
  recordTimeout(): void {
    this.timeoutMs = Math.min(this.options.maxMs, this.timeoutMs * FACTOR);
  }

  /** Records a response that took `elapsedMs`. */
  recordResponse(elapsedMs: number): void {
    const shorterMs = this.timeoutMs / FACTOR;
    if (elapsedMs < shorterMs) this.timeoutMs = Math.max(this.options.initialMs, shorterMs);
  }
}
