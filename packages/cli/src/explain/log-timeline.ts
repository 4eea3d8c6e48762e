/**
 * Tells the story of one forwarded request from the logs of all routers: its own lines in words, and
 * what its routers and endpoints went through at that time.
 */
import type { LogRecord } from './log-record.ts';

/** Time before and after a request in which other events may explain it, in ms. */
const CONTEXT_MS = 3_000;

const CONTEXT_EVENT = /^(process|router|store|routes|endpoint|peers)\./;
const FAILED_ATTEMPT = 'call.attempt_failed';
const TABLE_EVENT = 'routes.in_force';

/** One line of the story. */
export interface LogTimelineEntry {
  host: string;
  atMs: number;
  event: string;
  /** In words. */
  text: string;
  /** Not about the request itself, but about its router or endpoint. */
  isContext: boolean;
}

/** The story of a request. */
export interface LogTimeline {
  request: string;
  lines: LogTimelineEntry[];
  /** Why it ended as it did, and whether it may have run; undefined where its end is not in the log. */
  conclusion: string | undefined;
}

type Fields = LogRecord['fields'];

/** Whether a line can belong to the story of a request. */
export function isRelevantRecord(record: LogRecord, request: string): boolean {
  if (record.request === request) return true;
  return record.event === FAILED_ATTEMPT || CONTEXT_EVENT.test(record.event);
}

/** Tells the story; undefined where no line is about the request. */
export function buildLogTimeline(
  request: string,
  records: readonly LogRecord[],
): LogTimeline | undefined {
  const sorted = [...records].sort((a, b) => a.atMs - b.atMs);
  const own = sorted.filter((record) => record.request === request);
  if (own.length === 0) return undefined;
  const lines = [
    ...own.map((record) => describe(record, false)),
    ...findContext(own, sorted).map((record) => describe(record, true)),
    ...countOtherFailures(own, sorted),
  ].sort((a, b) => a.atMs - b.atMs);
  const end = own.findLast(({ event }) => CONCLUSIONS[event] !== undefined);
  const conclusion = end && CONCLUSIONS[end.event]?.(end.fields);
  return { request, lines, conclusion };
}

/** What the routers of the request and its endpoints went through meanwhile. */
function findContext(own: readonly LogRecord[], sorted: readonly LogRecord[]): LogRecord[] {
  const hosts = new Set(own.map(({ host }) => host));
  const endpoints = endpointsOf(own);
  const { fromMs, toMs } = spanOf(own);
  const near = sorted.filter(
    ({ atMs, host, event, fields }) =>
      atMs >= fromMs - CONTEXT_MS &&
      atMs <= toMs + CONTEXT_MS &&
      hosts.has(host) &&
      CONTEXT_EVENT.test(event) &&
      (!event.startsWith('endpoint.') || endpoints.has(fields['endpoint'] ?? '')),
  );
  const table = sorted.findLast(
    ({ atMs, host, event }) => event === TABLE_EVENT && hosts.has(host) && atMs <= fromMs,
  );
  return table === undefined || near.includes(table) ? near : [table, ...near];
}

/** How many other requests failed at the same endpoint, which tells a crash from one bad answer. */
function countOtherFailures(
  own: readonly LogRecord[],
  sorted: readonly LogRecord[],
): LogTimelineEntry[] {
  return own
    .filter(({ event }) => event === FAILED_ATTEMPT)
    .map(({ atMs, host, fields }) => {
      const endpoint = fields['endpoint'] ?? '?';
      const others = sorted.filter(
        (record) =>
          record.event === FAILED_ATTEMPT &&
          record.fields['endpoint'] === endpoint &&
          record.request !== own[0]?.request &&
          Math.abs(record.atMs - atMs) <= CONTEXT_MS,
      );
      const seconds = CONTEXT_MS / 1_000;
      const text = `${others.length} other attempts failed at endpoint ${endpoint} within ${seconds} s`;
      return { host, atMs, event: FAILED_ATTEMPT, text, isContext: true };
    });
}

function endpointsOf(own: readonly LogRecord[]): Set<string> {
  return new Set(own.flatMap(({ fields }) => fields['endpoint'] ?? []));
}

function spanOf(own: readonly LogRecord[]): { fromMs: number; toMs: number } {
  const begins = own.map(({ atMs, fields }) => atMs - Number(fields['total_ms'] ?? 0));
  return { fromMs: Math.min(...begins), toMs: Math.max(...own.map(({ atMs }) => atMs)) };
}

function describe(record: LogRecord, isContext: boolean): LogTimelineEntry {
  const { atMs, host, event, fields } = record;
  const sentence = SENTENCES[event];
  const text = sentence === undefined ? listFields(record) : sentence(fields);
  return { host, atMs, event, text, isContext };
}

const SENTENCES: Record<string, (fields: Fields) => string> = {
  'call.sent': (f) =>
    `sent to endpoint ${say(f, 'endpoint')} as attempt ${say(f, 'attempt')}, with ${say(f, 'left_ms')} ms left`,
  [FAILED_ATTEMPT]: (f) =>
    `the attempt at endpoint ${say(f, 'endpoint')} failed: ${say(f, 'reason')} (${say(f, 'verdict')})` +
    (f['last_event'] === undefined ? '' : `; the caller had events up to ${f['last_event']}`),
  'call.refused_unplaced': (f) =>
    `refused before it was placed: ${say(f, 'reason')}; key age ${say(f, 'key_age_ms')} ms, routes ${say(f, 'version')}`,
  'call.ended': describeEnd,
  [TABLE_EVENT]: (f) => `routes of version ${say(f, 'version')} in force`,
  'store.lost': (f) => `the store does not answer for ${say(f, 'prefix')}: ${say(f, 'reason')}`,
  'store.regained': (f) => `the store answers again for ${say(f, 'prefix')}`,
  'router.not_ready': (f) => `the router takes no new connections: ${say(f, 'reason')}`,
  'router.ready': () => 'the router takes new connections',
  'endpoint.draining': (f) => `endpoint ${say(f, 'endpoint')} takes no new work`,
  'endpoint.gone': (f) => `the entry of endpoint ${say(f, 'endpoint')} is gone`,
  'endpoint.restarted': (f) => `endpoint ${say(f, 'endpoint')} started anew`,
};

function describeEnd(fields: Fields): string {
  const after = `after ${say(fields, 'total_ms')} ms`;
  const first =
    fields['first_event_ms'] === undefined
      ? ''
      : `, the first event after ${fields['first_event_ms']} ms`;
  return `ended ${after} as ${say(fields, 'outcome')}${first}; route ${say(fields, 'route')}${describeDecision(fields)}`;
}

/** What placement and admission knew. */
function describeDecision(fields: Fields): string {
  if (fields['wait_ms'] === undefined) return '';
  const returning = fields['returning'] === 'true' ? ', and it had been refused before' : '';
  return (
    `, workspace ${say(fields, 'workspace')} with ${say(fields, 'share_used')} of its share and ` +
    `${say(fields, 'surplus_used')} of its surplus used${returning}; best endpoint ${say(fields, 'endpoint')}: ` +
    `${say(fields, 'wait_ms')} ms to wait behind ${say(fields, 'tokens_ahead')} tokens and ` +
    `${say(fields, 'requests_ahead')} requests, ${say(fields, 'service_ms')} ms to read ${say(fields, 'read_tokens')} tokens`
  );
}

const CONCLUSIONS: Record<string, (fields: Fields) => string> = {
  'call.refused_unplaced': (f) => `It has not run: ${say(f, 'reason')}.`,
  'call.ended': concludeEnd,
};

function concludeEnd(fields: Fields): string {
  const { outcome = '?', reason = '?' } = fields;
  switch (outcome) {
    case 'ok':
      return 'The whole answer was passed on.';
    case 'refused':
      return `It has not run: ${reason}.`;
    case 'failed':
      return `It may have run: ${reason}. Only the endpoint's own record tells.`;
    case 'cut':
      return `The answer was broken off: ${reason}. It has run in part, perhaps to its end.`;
    case 'caller_left':
      return 'The caller closed its connection before the answer was whole; the endpoint was freed.';
    default:
      return `The endpoint's own answer was passed on: ${outcome.replace('status_', 'status ')}.`;
  }
}

function say(fields: Fields, name: string): string {
  return fields[name] ?? '?';
}

function listFields({ event, fields }: LogRecord): string {
  const rest = Object.entries(fields).filter(
    ([name]) => !['ts', 'level', 'host', 'event'].includes(name),
  );
  return [event, ...rest.map(([name, value]) => `${name}=${value}`)].join(' ');
}
