/**
 * Logger that also records every event of a request in the process's trace store, regardless of the
 * log level, so that `explain` shows the same events as the log.
 */
import type { Clock, LogEvent, Logger } from '@poplarpick/kernel';
import type { TraceStore, TraceDetail } from '@poplarpick/decisions';

/** Options of a `TracingLogger`. */
export interface TracingLoggerOptions {
  log: Logger;
  traceStore: TraceStore;
  clock: Clock;
}

/** Forwards events to another logger and records those with a `request` in the trace store. */
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
