/** Reads log files in the logfmt format. Every log line has the keys `ts`, `host` and `event`. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import logfmt from 'logfmt';

/** Parsed log line. */
export interface LogRecord {
  atMs: number;
  host: string;
  event: string;
  /** Id of the request that the line refers to, if any. */
  request: string | undefined;
  fields: Readonly<Record<string, string>>;
}

/** Parses a line; undefined if it is not a log line. Ignores a prefix that a log collector added. */
export function parseLogLine(line: string): LogRecord | undefined {
  const start = line.indexOf('ts=');
  if (start < 0) return undefined;
  const fields = logfmt.parse(line.slice(start)) as Record<string, string>;
  const { ts = '', host = '?', event } = fields;
  const atMs = Date.parse(ts);
  if (event === undefined || Number.isNaN(atMs)) return undefined;
  return { atMs, host, event, request: fields['request'], fields };
}

/** Reads the records of a file that match `isWanted`. Skips lines that are not log lines. */
export async function readLogFile(
  file: string,
  isWanted: (record: LogRecord) => boolean,
): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  for await (const line of createInterface({ input: createReadStream(file) })) {
    const record = parseLogLine(line);
    if (record !== undefined && isWanted(record)) records.push(record);
  }
  return records;
}
