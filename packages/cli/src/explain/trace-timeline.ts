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

const SENTENCES: Record<string, (details: Details) => string> = {
  'request.queued': (d) =>
    `queued for ${say(d, 'pool')} of workspace ${say(d, 'workspace')}` +
    (d['pinned_to'] === undefined ? '' : `, pinned to endpoint ${say(d, 'pinned_to')}`) +
    `; revision ${say(d, 'revision')}, preset ${say(d, 'preset')}`,
  'request.granted': (d) =>
    `granted to ${say(d, 'sidecar')} as attempt ${say(d, 'attempt')}` +
    (d['waited_ms'] === undefined ? '' : ` after ${say(d, 'waited_ms')} ms`),
  'request.claimed': describeClaim,
  'request.started': (d) => `started at the endpoint for router ${say(d, 'router')}`,
  'request.refused': (d) => `refused by the sidecar: ${say(d, 'code')}`,
  'request.requeued': (d) => `queued again after attempt ${say(d, 'attempt')}: ${say(d, 'loss')}`,
  'request.ended': (d) => `the endpoint has ended; cost ${say(d, 'cost')}`,
  'request.finished': (d) =>
    `whole answer delivered after ${say(d, 'ms')} ms; cost ${say(d, 'cost')}`,
  'request.failed': (d) => `failed: ${say(d, 'code')}, verdict ${say(d, 'verdict')}`,
  'request.abandoned': () => 'the caller went away',
};

/** The account of a request. Clocks of hosts may differ, so the order between hosts is rough. */
export function buildTraceTimeline(traces: readonly ProcessTrace[]): TraceTimelineEntry[] {
  return traces
    .flatMap(({ host, trace }) => trace.events.map((event) => describeEvent(host, event)))
    .sort((a, b) => a.atMs - b.atMs);
}

function describeEvent(host: string, { atMs, event, details }: TraceEvent): TraceTimelineEntry {
  const sentence = SENTENCES[event];
  const text = sentence === undefined ? listDetails(details) : sentence(details);
  return { host, atMs, event, text, details };
}

function describeClaim(details: Details): string {
  const chosen = `claimed: workspace ${say(details, 'preferred')} had the least service for its weight`;
  const service = ` (${say(details, 'service')})`;
  const next =
    details['next'] === undefined
      ? ', no other was backlogged'
      : `, then ${say(details, 'next')} (${say(details, 'next_service')})`;
  const under = `; revision ${say(details, 'revision')}, preset ${say(details, 'preset')}`;
  return `${chosen}${service}${next}${under}`;
}

function say(details: Details, name: string): string {
  return String(details[name] ?? '?');
}

function listDetails(details: Details): string {
  return Object.entries(details)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
