/**
 * Watches the event loop of a router: the fraction of time in which it has work, and the time by which a
 * periodic timer fires late. A router without enough processor time serves its calls late, which is not
 * visible in the load of the endpoints.
 */
import { performance } from 'node:perf_hooks';
import { OverloadDetector } from '@poplarpick/decisions';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';

/** Period of the samples, in ms. */
const SAMPLE_PERIOD_MS = 50;

/** Smoothing factor of the mean delay, which spans about half a second. */
const SMOOTHING_FACTOR = 0.2;

/**
 * Mean delay and mean utilization up to which the times at which events are read are those at which the endpoints
 * sent them. At a higher utilization, events wait in the sockets, which timers don't show.
 */
const PUNCTUAL_LIMITS = { delayMs: 25, utilization: 0.9 };

/** Longest delay that one sample counts, in ms, as a suspension of the host isn't a lack of processor time. */
const MAX_SAMPLE_MS = 500;

/** Options of an `EventLoopMonitor`. */
export interface EventLoopMonitorOptions {
  clock: Clock;
  log: Logger;
  /** Returns the utilization of the event loop (0 to 1) since its previous call. */
  readUtilization?: () => number;
}

/** Samples the event loop and logs overloads. */
export class EventLoopMonitor {
  private readonly options: Required<EventLoopMonitorOptions>;
  private readonly detector = new OverloadDetector();
  private timer: Timer | undefined;
  private expectedAt = 0;
  private smoothedDelayMs = 0;
  private overloadedAt = 0;
  private peakDelayMs = 0;

  constructor(options: EventLoopMonitorOptions) {
    this.options = { readUtilization: createUtilizationReader(), ...options };
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
  get meanDelayMs(): number {
    return this.smoothedDelayMs;
  }

  /** Moving average of the utilization, in 0..1. */
  get utilization(): number {
    return this.detector.utilization;
  }

  /** True while events are read late, so that their times tell more of this router than of the endpoints. */
  get readsLate(): boolean {
    const { delayMs, utilization } = PUNCTUAL_LIMITS;
    return this.smoothedDelayMs > delayMs || this.utilization > utilization;
  }

  /** True while the router has too little processor time and should get no new connections. */
  get isOverloaded(): boolean {
    return this.detector.isOverloaded;
  }

  /** True if connections should be closed after their response, so that callers move to other routers. */
  get shouldMoveCallers(): boolean {
    return this.detector.shouldMoveCallers(this.options.clock.monotonic());
  }

  private sample(): void {
    const { clock, readUtilization } = this.options;
    const now = clock.monotonic();
    const delayMs = Math.min(MAX_SAMPLE_MS, Math.max(0, now - this.expectedAt));
    this.expectedAt = now + SAMPLE_PERIOD_MS;
    this.smoothedDelayMs += SMOOTHING_FACTOR * (delayMs - this.smoothedDelayMs);
    const wasOverloaded = this.isOverloaded;
    this.detector.record(readUtilization(), now);
    this.logOverload(wasOverloaded, now);
  }

  /** Logs the begin and the end of an overload. */
  private logOverload(wasOverloaded: boolean, now: number): void {
    const { log } = this.options;
    const { isOverloaded } = this;
    this.peakDelayMs = Math.max(this.peakDelayMs, this.smoothedDelayMs);
    if (isOverloaded === wasOverloaded) return;
    if (isOverloaded) {
      this.overloadedAt = now;
      this.peakDelayMs = this.smoothedDelayMs;
      log.warn({
        event: 'router.overloaded',
        utilization: Number(this.utilization.toFixed(2)),
        delay_ms: Math.round(this.smoothedDelayMs),
      });
      return;
    }
    log.info({
      event: 'router.relieved',
      overloaded_ms: Math.round(now - this.overloadedAt),
      peak_delay_ms: Math.round(this.peakDelayMs),
    });
  }
}

/** Returns a function that reads the utilization of this thread's event loop since its previous call. */
function createUtilizationReader(): () => number {
  let previous = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, previous);
    previous = current;
    return utilization;
  };
}
