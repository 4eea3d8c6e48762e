/**
 * A logger that also notes every event about a request in the process's trace book, whatever the level
 * of the log, so that what is logged of a request and what `explain` tells of it are the same.
 */
import type { Clock, LogEvent, Logger } from '@poplarpick/kernel';
import type { TraceStore, TraceDetail } from '@poplarpick/decisions';

/** Options of a `TracingLogger`. */
export interface TracingLoggerOptions {
  log: Logger;
  traceStore: TraceStore;
  clock: Clock;
}

/** Passes events on and notes those that have a `request`. */
export class TracingLogger implements Logger {
  private readonly log: Logger;
  private readonly traceStore: TraceStore;
  private readonly clock: Clock;

  constructor(options: TracingLoggerOptions) {
    this.log = options.log;
    this.traceStore = options.traceStore;
    this.clock = options.clock;
  }

  debug(event: LogEvent): void {
    this.record(event);
    this.log.debug(event);
  }

  info(event: LogEvent): void {
    this.record(event);
    this.log.info(event);
  }

  warn(event: LogEvent): void {
    this.record(event);
    this.log.warn(event);
  }

  error(event: LogEvent): void {
    this.record(event);
    this.log.error(event);
  }

  private record({ event, request, ...rest }: LogEvent): void {
    if (request === undefined) return;
    const details: Record<string, TraceDetail> = {};
    for (const [name, value] of Object.entries(rest)) {
      if (value !== undefined && value !== null) details[name] = value;
    }
    this.traceStore.record(request, { atMs: this.clock.now(), event, details });
  }
}
