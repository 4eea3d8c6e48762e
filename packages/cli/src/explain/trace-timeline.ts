/** Merges the traces of a request from several processes into one timeline. */
import type { RequestTrace, TraceDetail, TraceEvent } from '@poplarpick/decisions';

/** Trace of a request from one process. */
export interface ProcessTrace {
  host: string;
  trace: RequestTrace;
}

/** Entry of a timeline built from traces. */
export interface TraceTimelineEntry {
  host: string;
  atMs: number;
  event: string;
  /** Description of the event for operators. */
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
  'request.ended': (d) => `the run at the endpoint ended; cost ${readDetail(d, 'cost')}`,
  'request.finished': (d) =>
    `whole answer delivered after ${readDetail(d, 'ms')} ms; cost ${readDetail(d, 'cost')}`,
  'request.failed': (d) => `failed: ${readDetail(d, 'code')}, verdict ${readDetail(d, 'verdict')}`,
  'request.abandoned': () => 'the caller disconnected',
};

/**
 * Builds the timeline of a request, sorted by time. The clocks of hosts may differ, so the order of events
 * between hosts is approximate.
 */
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
