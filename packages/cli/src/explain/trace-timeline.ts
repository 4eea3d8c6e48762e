/** Puts what several processes remember of a request into one account, in the order of time. */
import type { RequestTrace, TraceDetail, TraceEvent } from '@poplarpick/decisions';

/** What one process remembers. */
export interface ProcessTrace {
  host: string;
  trace: RequestTrace;
}

/** One event of the account. */
export interface TraceTimelineEntry {
  host: string;
  atMs: number;
  event: string;
  /** In words. */
  text: string;
  details: Record<string, TraceDetail>;
}

type Details = Record<string, TraceDetail>;

const EVENT_FORMATTERS: Record<string, (details: Details) => string> = {
  'request.queued': (d) =>
    `queued for ${readDetail(d, 'pool')} of workspace ${readDetail(d, 'workspace')}` +
    (d['pinned_to'] === undefined ? '' : `, pinned to endpoint ${readDetail(d, 'pinned_to')}`) +
    `; revision ${readDetail(d, 'revision')}, preset ${readDetail(d, 'preset')}`,
  'request.granted': (d) =>
    `granted to ${readDetail(d, 'sidecar')} as attempt ${readDetail(d, 'attempt')}` +
    (d['waited_ms'] === undefined ? '' : ` after ${readDetail(d, 'waited_ms')} ms`),
  'request.claimed': formatClaim,
  'request.started': (d) => `started at the endpoint for router ${readDetail(d, 'router')}`,
  'request.refused': (d) => `refused by the sidecar: ${readDetail(d, 'code')}`,
  'request.requeued': (d) =>
    `queued again after attempt ${readDetail(d, 'attempt')}: ${readDetail(d, 'loss')}`,
  'request.ended': (d) => `the endpoint has ended; cost ${readDetail(d, 'cost')}`,
  'request.finished': (d) =>
    `whole answer delivered after ${readDetail(d, 'ms')} ms; cost ${readDetail(d, 'cost')}`,
  'request.failed': (d) => `failed: ${readDetail(d, 'code')}, verdict ${readDetail(d, 'verdict')}`,
  'request.abandoned': () => 'the caller went away',
};

/** The account of a request. Clocks of hosts may differ, so the order between hosts is rough. */
export function buildTraceTimeline(traces: readonly ProcessTrace[]): TraceTimelineEntry[] {
  return traces
    .flatMap(({ host, trace }) => trace.events.map((event) => buildEntry(host, event)))
    .sort((a, b) => a.atMs - b.atMs);
}

function buildEntry(host: string, { atMs, event, details }: TraceEvent): TraceTimelineEntry {
  const formatter = EVENT_FORMATTERS[event];
  const text = formatter === undefined ? formatDetails(details) : formatter(details);
  return { host, atMs, event, text, details };
}

function formatClaim(details: Details): string {
  const chosen = `claimed: workspace ${readDetail(details, 'preferred')} had the least service for its weight`;
  const service = ` (${readDetail(details, 'service')})`;
  const next =
    details['next'] === undefined
      ? ', no other was backlogged'
      : `, then ${readDetail(details, 'next')} (${readDetail(details, 'next_service')})`;
  const under = `; revision ${readDetail(details, 'revision')}, preset ${readDetail(details, 'preset')}`;
  return `${chosen}${service}${next}${under}`;
}

function readDetail(details: Details, name: string): string {
  return String(details[name] ?? '?');
}

function formatDetails(details: Details): string {
  return Object.entries(details)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
