/**
 * Logs: one line of key=value pairs per event, written to standard error or a given
 * output. Every line has `ts`, `level`, `host` and `event`; lines about a request have `request`.
 */
import logfmt from 'logfmt';

/** Severity of log events, the least severe first; `Silent` disables logging. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** The levels, the least severe first. */
const SEVERITIES = Object.values(LogLevel);

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
  return new LineLogger(options);
}

type Field = string | number | boolean | null;

class LineLogger implements Logger {
  private readonly severity: number;
  private readonly host: string | undefined;
  private readonly write: (line: string) => void;

  constructor({ host, level = LogLevel.Info, write = writeToStandardError }: LoggerOptions) {
    this.severity = SEVERITIES.indexOf(level);
    this.host = host;
    this.write = write;
  }

  debug(event: LogEvent): void {
    this.log(LogLevel.Debug, event);
  }

  info(event: LogEvent): void {
    this.log(LogLevel.Info, event);
  }

  warn(event: LogEvent): void {
    this.log(LogLevel.Warn, event);
  }

  error(event: LogEvent): void {
    this.log(LogLevel.Error, event);
  }

  private log(level: LogLevel, event: LogEvent): void {
    if (SEVERITIES.indexOf(level) < this.severity) return;
    const fields: Record<string, Field> = { ts: new Date().toISOString(), level };
    if (this.host !== undefined) fields['host'] = this.host;
    for (const name in event) {
      const value = event[name];
      if (value !== undefined) fields[name] = toField(value);
    }
    this.write(`${logfmt.stringify(fields)}\n`);
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(line);
}

/** Keeps each event on one line, also with line breaks as in stack traces. */
function toField(value: Field): Field {
  if (typeof value === 'number') return Number.isFinite(value) ? value : null;
  return typeof value === 'string' ? value.replaceAll('\n', '\\n') : value;
}
