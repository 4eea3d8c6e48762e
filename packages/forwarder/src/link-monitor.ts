/**
 * Watches the link of a router by the time that its connections to endpoints take to open. Over a congested link calls,
 * reports and confirmations of keys are late or lost, though the event loop is idle.
 */
import { OpeningTimes, OverloadDetector } from '@poplarpick/decisions';
import type { Clock, Logger, Timer } from '@poplarpick/kernel';
import { ByteRates } from './byte-rates.ts';
import type { LinkBytes } from './byte-rates.ts';
import type { EventLoopMonitor } from './event-loop-monitor.ts';

/** Period of the samples, in ms. */
const SAMPLE_PERIOD_MS = 50;

/** Options of a `LinkMonitor`. */
export interface LinkMonitorOptions {
  clock: Clock;
  log: Logger;
  /** A late event loop makes openings look slow, which says nothing of the link. */
  eventLoop: Pick<EventLoopMonitor, 'readsLate'>;
}

/** Samples the opening times and logs congestions. */
export class LinkMonitor {
  private readonly options: LinkMonitorOptions;
  private readonly times = new OpeningTimes();
  private readonly detector = new OverloadDetector();
  private readonly rates: ByteRates;
  /** At the latest sample, connections opened late wherever they lead. */
  private areOpeningsSlow = false;
  private timer: Timer | undefined;

  constructor(options: LinkMonitorOptions) {
    this.options = options;
    this.rates = new ByteRates(options.clock.monotonic());
  }

  start(): void {
    this.timer = this.options.clock.every(SAMPLE_PERIOD_MS, () => this.sample());
  }

  stop(): void {
    this.timer?.stop();
  }

  /** Records that a connection to an endpoint took `elapsedMs` to open, to be refused or to time out. */
  recordOpening(address: string, elapsedMs: number): void {
    this.times.record(address, elapsedMs, this.options.clock.monotonic());
  }

  /** Records bytes that callers have sent and got. */
  recordCallerBytes(bytes: LinkBytes): void {
    this.rates.record(bytes, this.options.clock.monotonic());
  }

  /** Bytes a second that callers send and get. */
  get callerBytes(): LinkBytes {
    return this.rates.read(this.options.clock.monotonic());
  }

  /** True while this router gets what endpoints send late, be it for its link or for its event loop. */
  get isLate(): boolean {
    return this.options.eventLoop.readsLate || this.areOpeningsSlow;
  }

  /** Median time that connections have taken to open lately, in ms; undefined without any. */
  get openingMs(): number | undefined {
    return this.times.medianMs(this.options.clock.monotonic());
  }

  /** True while the link has been congested for a while, though the event loop was punctual. */
  get isCongested(): boolean {
    return this.detector.isOverloaded;
  }

  /** What a log line says of the link. */
  describe(): Record<string, number | undefined> {
    const { openingMs, callerBytes } = this;
    return {
      opening_ms: openingMs === undefined ? undefined : Math.round(openingMs),
      caller_bytes_in_s: callerBytes.received,
      caller_bytes_out_s: callerBytes.sent,
    };
  }

  private sample(): void {
    const { clock, log, eventLoop } = this.options;
    const wasCongested = this.isCongested;
    const now = clock.monotonic();
    this.areOpeningsSlow = this.times.areSlow(now);
    const isLinkSlow = this.areOpeningsSlow && !eventLoop.readsLate;
    this.detector.record(isLinkSlow ? 1 : 0, now);
    if (this.isCongested === wasCongested) return;
    if (wasCongested) log.info({ event: 'router.link_free' });
    else log.warn({ event: 'router.link_congested', ...this.describe() });
  }
}
