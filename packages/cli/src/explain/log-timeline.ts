/**
 * Builds the timeline of a forwarded request from the logs of all routers: descriptions of its own log
 * lines, and of events at its routers and endpoints around the same time.
 */
import type { LogRecord } from './log-record.ts';

/** Time before and after a request, in milliseconds, in which other events may explain its outcome. */
const CONTEXT_WINDOW_MS = 3_000;

const CONTEXT_EVENT_PATTERN = /^(process|router|store|routes|endpoint|peers)\./;
const FAILED_ATTEMPT_EVENT = 'call.attempt_failed';
const ROUTES_EVENT = 'routes.in_force';

/** Entry of a timeline built from logs. */
export interface LogTimelineEntry {
  host: string;
  atMs: number;
  event: string;
  /** Description of the event for operators. */
  text: string;
  /** Whether the event concerns the router or endpoint of the request instead of the request itself. */
  isContext: boolean;
}

/** Timeline of a request built from logs. */
export interface LogTimeline {
  request: string;
  lines: LogTimelineEntry[];
  /** Reason of the outcome, and whether the request may have run; undefined if the log lacks its end. */
  conclusion: string | undefined;
}

type Fields = LogRecord['fields'];

/** Whether a record may be part of the timeline of a request. */
export function isRelevantRecord(record: LogRecord, request: string): boolean {
  if (record.request === request) return true;
  return record.event === FAILED_ATTEMPT_EVENT || CONTEXT_EVENT_PATTERN.test(record.event);
}

/** Builds the timeline of a request; undefined if no record refers to the request. */
export function buildLogTimeline(
  request: string,
  records: readonly LogRecord[],
): LogTimeline | undefined {
  const sorted = [...records].sort((a, b) => a.atMs - b.atMs);
  const requestRecords = sorted.filter((record) => record.request === request);
  if (requestRecords.length === 0) return undefined;
  const lines = [
    ...requestRecords.map((record) => buildEntry(record, false)),
    ...findContextRecords(requestRecords, sorted).map((record) => buildEntry(record, true)),
    ...countOtherFailures(requestRecords, sorted),
  ].sort((a, b) => a.atMs - b.atMs);
  const endRecord = requestRecords.findLast(
    ({ event }) => CONCLUSION_FORMATTERS[event] !== undefined,
  );
  const conclusion = endRecord && CONCLUSION_FORMATTERS[endRecord.event]?.(endRecord.fields);
  return { request, lines, conclusion };
}

/**
 * Finds events at the routers and endpoints of the request around its time, and the last change of routes
 * before it.
 */
function findContextRecords(
  requestRecords: readonly LogRecord[],
  sorted: readonly LogRecord[],
): LogRecord[] {
  const hosts = new Set(requestRecords.map(({ host }) => host));
  const endpoints = listEndpoints(requestRecords);
  const { fromMs, toMs } = computeTimeSpan(requestRecords);
  const nearbyRecords = sorted.filter(
    ({ atMs, host, event, fields }) =>
      atMs >= fromMs - CONTEXT_WINDOW_MS &&
      atMs <= toMs + CONTEXT_WINDOW_MS &&
      hosts.has(host) &&
      CONTEXT_EVENT_PATTERN.test(event) &&
      (!event.startsWith('endpoint.') || endpoints.has(fields['endpoint'] ?? '')),
  );
  const routesRecord = sorted.findLast(
    ({ atMs, host, event }) => event === ROUTES_EVENT && hosts.has(host) && atMs <= fromMs,
  );
  return routesRecord === undefined || nearbyRecords.includes(routesRecord)
    ? nearbyRecords
    : [routesRecord, ...nearbyRecords];
}

/**
 * Counts the attempts of other requests that failed at the same endpoint. Many of them indicate a crash of
 * the endpoint, none a single faulty answer.
 */
function countOtherFailures(
  requestRecords: readonly LogRecord[],
  sorted: readonly LogRecord[],
): LogTimelineEntry[] {
  return requestRecords
    .filter(({ event }) => event === FAILED_ATTEMPT_EVENT)
    .map(({ atMs, host, fields }) => {
      const endpoint = fields['endpoint'] ?? '?';
      const others = sorted.filter(
        (record) =>
          record.event === FAILED_ATTEMPT_EVENT &&
          record.fields['endpoint'] === endpoint &&
          record.request !== requestRecords[0]?.request &&
          Math.abs(record.atMs - atMs) <= CONTEXT_WINDOW_MS,
      );
      const seconds = CONTEXT_WINDOW_MS / 1_000;
      const text = `${others.length} other attempts failed at endpoint ${endpoint} within ${seconds} s`;
      return { host, atMs, event: FAILED_ATTEMPT_EVENT, text, isContext: true };
    });
}

function listEndpoints(requestRecords: readonly LogRecord[]): Set<string> {
  return new Set(requestRecords.flatMap(({ fields }) => fields['endpoint'] ?? []));
}

function computeTimeSpan(requestRecords: readonly LogRecord[]): { fromMs: number; toMs: number } {
  const startTimes = requestRecords.map(
    ({ atMs, fields }) => atMs - Number(fields['total_ms'] ?? 0),
  );
  return {
    fromMs: Math.min(...startTimes),
    toMs: Math.max(...requestRecords.map(({ atMs }) => atMs)),
  };
}

function buildEntry(record: LogRecord, isContext: boolean): LogTimelineEntry {
  const { atMs, host, event, fields } = record;
  const formatter = EVENT_FORMATTERS[event];
  const text = formatter === undefined ? formatFields(record) : formatter(fields);
  return { host, atMs, event, text, isContext };
}

const EVENT_FORMATTERS: Record<string, (fields: Fields) => string> = {
  'call.sent': (f) =>
    `sent to endpoint ${readField(f, 'endpoint')} as attempt ${readField(f, 'attempt')}, with ${readField(f, 'left_ms')} ms left`,
  [FAILED_ATTEMPT_EVENT]: (f) =>
    `the attempt at endpoint ${readField(f, 'endpoint')} failed: ${readField(f, 'reason')} (${readField(f, 'verdict')})` +
    (f['last_event'] === undefined ? '' : `; the caller had events up to ${f['last_event']}`),
  'call.stalled': (f) =>
    `endpoint ${readField(f, 'endpoint')} is silent; the stream stays there (${readField(f, 'not_retried')})`,
  'call.refused_unplaced': (f) =>
    `refused before it was placed: ${readField(f, 'reason')}; key age ${readField(f, 'key_age_ms')} ms, routes ${readField(f, 'version')}`,
  'call.dropped': (f) => `dropped before it was placed: ${readField(f, 'reason')}`,
  'call.ended': formatEnd,
  [ROUTES_EVENT]: (f) => `routes of version ${readField(f, 'version')} in force`,
  'store.lost': (f) =>
    `the store does not answer for ${readField(f, 'prefix')}: ${readField(f, 'reason')}`,
  'store.regained': (f) => `the store answers again for ${readField(f, 'prefix')}`,
  'router.not_ready': (f) => `the router takes no new connections: ${readField(f, 'reason')}`,
  'router.ready': () => 'the router takes new connections',
  'endpoint.draining': (f) => `endpoint ${readField(f, 'endpoint')} takes no new work`,
  'endpoint.gone': (f) => `the entry of endpoint ${readField(f, 'endpoint')} is gone`,
  'endpoint.changed': (f) => `the entry of endpoint ${readField(f, 'endpoint')} changed`,
  'endpoint.restarted': (f) => `endpoint ${readField(f, 'endpoint')} restarted`,
};

function formatEnd(fields: Fields): string {
  const elapsed = `after ${readField(fields, 'total_ms')} ms`;
  const firstEvent =
    fields['first_event_ms'] === undefined
      ? ''
      : `, the first event after ${fields['first_event_ms']} ms`;
  return `ended ${elapsed} as ${readField(fields, 'outcome')}${firstEvent}; route ${readField(fields, 'route')}${formatDecision(fields)}`;
}

/** Describes the state on which placement and admission based their decision. */
function formatDecision(fields: Fields): string {
  if (fields['wait_ms'] === undefined) return '';
  const returning = fields['returning'] === 'true' ? ', and it had been refused before' : '';
  return (
    `, workspace ${readField(fields, 'workspace')} with ${readField(fields, 'share_used')} of its share and ` +
    `${readField(fields, 'surplus_used')} of its surplus used${returning}; best endpoint ${readField(fields, 'endpoint')}: ` +
    `${readField(fields, 'wait_ms')} ms to wait behind ${readField(fields, 'tokens_ahead')} tokens and ` +
    `${readField(fields, 'requests_ahead')} requests, ${readField(fields, 'service_ms')} ms to read ${readField(fields, 'read_tokens')} tokens`
  );
}

const CONCLUSION_FORMATTERS: Record<string, (fields: Fields) => string> = {
  'call.refused_unplaced': (f) => `It has not run: ${readField(f, 'reason')}.`,
  'call.dropped': (f) => `It has not run, and has no answer: ${readField(f, 'reason')}.`,
  'call.ended': formatConclusion,
};

function formatConclusion(fields: Fields): string {
  const { outcome = '?', reason = '?' } = fields;
  switch (outcome) {
    case 'ok':
      return 'The whole answer was passed on.';
    case 'refused':
      return `It has not run: ${reason}.`;
    case 'failed':
      return `It may have run: ${reason}. Only the endpoint's own records can tell.`;
    case 'cut':
      return `The answer was broken off: ${reason}. It has run in part, perhaps to its end.`;
    case 'caller_left':
      return 'The caller closed its connection before the answer was whole; the endpoint was freed.';
    default:
      return `The endpoint's own answer was passed on: ${outcome.replace('status_', 'status ')}.`;
  }
}

function readField(fields: Fields, name: string): string {
  return fields[name] ?? '?';
}

function formatFields({ event, fields }: LogRecord): string {
  const rest = Object.entries(fields).filter(
    ([name]) => !['ts', 'level', 'host', 'event'].includes(name),
  );
  return [event, ...rest.map(([name, value]) => `${name}=${value}`)].join(' ');
}
