/**
 * Logs: one line of key=value pairs per event, written by pino to standard error (or a given
 * stream). Every line has `ts`, `level`, `host` and `event`; lines about a request have `request`.
 */
import logfmt from 'logfmt';
import { pino } from 'pino';
import type { DestinationStream } from 'pino';

/** Severity of log events, the least severe first; `Silent` disables logging. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** A structured log event: a stable name and scalar fields. */
export type LogEvent = { event: string; request?: string | undefined } & Record<
  string,
  string | number | boolean | null | undefined
>;

/** Logs events at four levels. */
export interface Logger {
  debug(event: LogEvent): void;
  info(event: LogEvent): void;
  warn(event: LogEvent): void;
  error(event: LogEvent): void;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
  host?: string;
  level?: LogLevel;
  write?: (line: string) => void;
}

/** Creates a logger that writes one line of key=value pairs per event. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const write = options.write ?? ((line: string) => void process.stderr.write(line));
  const destination: DestinationStream = {
    write: (json) => write(`${formatLine(json)}\n`),
  };
  return pino(
    {
      base: options.host === undefined ? null : { host: options.host },
      level: options.level ?? LogLevel.Info,
      timestamp: () => `,"ts":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    },
    destination,
  );
}

function formatLine(json: string): string {
  const { ts, level, ...rest } = JSON.parse(json) as Record<string, unknown>;
  const values = Object.entries({ ts, level, ...rest }).map(([name, value]) => [
    name,
    escapeLineBreaks(value),
  ]);
  return logfmt.stringify(Object.fromEntries(values) as Record<string, unknown>);
}

/** Escapes line breaks, as in stack traces, so that each event stays on one line. */
function escapeLineBreaks(value: unknown): unknown {
  return typeof value === 'string' ? value.replaceAll('\n', '\\n') : value;
}
