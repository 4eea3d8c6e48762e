/**
 * Measures how far the event loop of a router is behind: the time by which a periodic timer fires late. A
 * router without enough processor time serves its calls late, which is not visible in the load of the
 * endpoints.
 */
import type { Clock, Logger, Timer } from '@poplarpick/kernel';

/** Period of the samples, in ms. */
const SAMPLE_PERIOD_MS = 50;

/** Smoothing factor of the moving average, which spans about half a second. */
const SMOOTHING_FACTOR = 0.2;

/** Longest delay that one sample counts, in ms, as a suspension of the host isn't a lack of processor time. */
const MAX_SAMPLE_MS = 500;

/** Mean delays at which the router starts and stops to count as behind, in ms. */
const BEHIND_MS = { start: 100, stop: 30 };

/** Options of an `EventLoopDelay`. */
export interface EventLoopDelayOptions {
  clock: Clock;
  log: Logger;
}

/** Samples the delay of the event loop. */
export class EventLoopDelay {
  private readonly options: EventLoopDelayOptions;
  private timer: Timer | undefined;
  private expectedAt = 0;
  private smoothedMs = 0;
  private behindSince: number | undefined;
  private peakMs = 0;

  constructor(options: EventLoopDelayOptions) {
    this.options = options;
  }

  start(): void {
    const { clock } = this.options;
    this.expectedAt = clock.monotonic() + SAMPLE_PERIOD_MS;
    this.timer = clock.every(SAMPLE_PERIOD_MS, () => this.sample());
  }

  stop(): void {
    this.timer?.stop();
  }

  /** Moving average of the delay, in ms. */
  get meanMs(): number {
    return this.smoothedMs;
  }

  /** True while the router has too little processor time to serve its calls on time. */
  get isBehind(): boolean {
    return this.behindSince !== undefined;
  }

  private sample(): void {
    const now = this.options.clock.monotonic();
    const delayMs = Math.min(MAX_SAMPLE_MS, Math.max(0, now - this.expectedAt));
    this.expectedAt = now + SAMPLE_PERIOD_MS;
    this.smoothedMs += SMOOTHING_FACTOR * (delayMs - this.smoothedMs);
    this.updateBehind(now);
  }

  /** Logs when the router falls behind and when it has caught up. */
  private updateBehind(now: number): void {
    const { log } = this.options;
    if (this.behindSince === undefined) {
      if (this.smoothedMs < BEHIND_MS.start) return;
      this.behindSince = now;
      this.peakMs = this.smoothedMs;
      log.warn({ event: 'router.behind', delay_ms: Math.round(this.smoothedMs) });
      return;
    }
    this.peakMs = Math.max(this.peakMs, this.smoothedMs);
    if (this.smoothedMs > BEHIND_MS.stop) return;
    const behindMs = Math.round(now - this.behindSince);
    log.info({ event: 'router.caught_up', behind_ms: behindMs, peak_ms: Math.round(this.peakMs) });
    this.behindSince = undefined;
  }
}
