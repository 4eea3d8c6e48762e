/** Formats the answer of a router to `poplarpick where` for a terminal. */
import Table from 'cli-table3';
import type { RouteExplanation } from '@poplarpick/forwarder';
import type { RouterAnswer } from '../commands/where.ts';

/** Most endpoints that the table shows. */
const MAX_ROWS = 10;

const HEAD = ['endpoint', 'data centre', 'cost', 'wait', 'service', 'missing', 'copied', 'ahead'];

/** The answer of one router as text. */
export function formatExplanation({ router, explanation, error }: RouterAnswer): string {
  if (explanation === undefined) return `${router}: ${error ?? 'no answer'}`;
  return [
    `${router} (${explanation.dataCentre}, routes ${explanation.routesVersion}): ${summarize(explanation)}`,
    ...describeWorkspace(explanation),
    formatCandidates(explanation),
    ...explanation.leftOut.map(
      ({ endpoint, dataCentre, reason }) => `left out: ${endpoint} (${dataCentre}): ${reason}`,
    ),
  ].join('\n');
}

function summarize({ route, pool, endpoint, refusal, hedgeAfterMs }: RouteExplanation): string {
  const target = `route ${route}, pool ${pool}`;
  if (refusal !== undefined) {
    const { reason, retryAfterMs } = refusal;
    const retry = retryAfterMs === undefined ? '' : `, retry after ${Math.round(retryAfterMs)} ms`;
    return `${target}: refused, ${reason}${retry}`;
  }
  const hedge =
    hedgeAfterMs === undefined ? 'not hedged' : `hedged after ${Math.round(hedgeAfterMs)} ms`;
  return `${target}: to ${endpoint ?? '?'}, ${hedge}`;
}

function describeWorkspace({ workspace, shareUsage }: RouteExplanation): string[] {
  if (workspace === undefined) return [];
  const { shareUsed, surplusUsed } = shareUsage;
  return [
    `workspace ${workspace}: ${shareUsed.toFixed(2)} of its share used, ${surplusUsed.toFixed(2)} of its surplus`,
  ];
}

function formatCandidates({ candidates }: RouteExplanation): string {
  const table = new Table({ head: HEAD, style: { head: [], border: [] } });
  for (const candidate of candidates.slice(0, MAX_ROWS)) {
    table.push([
      candidate.endpoint,
      candidate.dataCentre,
      candidate.cost,
      candidate.waitMs,
      candidate.serviceMs,
      candidate.missingTokens,
      candidate.copiedTokens,
      candidate.requestsAhead,
    ]);
  }
  const more = candidates.length - MAX_ROWS;
  return more > 0 ? `${table.toString()}\nand ${more} more` : table.toString();
}
