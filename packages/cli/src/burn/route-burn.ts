/**
 * Burn of routes between two scrapes of routers' metrics: of all calls that count, how many were not whole
 * and on time, over how many the target allows.
 */
import { addCounts, computeBurnRate } from '@poplarpick/decisions';
import type { EventCounts } from '@poplarpick/decisions';

const SAMPLE = /^poplarpick_calls_judged_total\{([^}]*)\} ([\d.e+]+)$/gm;
const LABEL = /(\w+)="([^"]*)"/g;
const GOOD = 'good';

/** Metrics of one router as text, at two moments. */
export interface ScrapePair {
  before: string;
  after: string;
}

/** Burn of one route over all routers. */
export interface RouteBurn extends EventCounts {
  route: string;
  /** Bad calls over those that the target allows. */
  rate: number;
}

/** Burn of each route, the highest first. A counter that fell began anew with its process. */
export function computeRouteBurns(pairs: readonly ScrapePair[], target: number): RouteBurn[] {
  const totals = new Map<string, EventCounts>();
  for (const { before, after } of pairs) {
    const earlier = readCounts(before);
    for (const [route, counts] of readCounts(after)) {
      const gained = subtract(counts, earlier.get(route));
      totals.set(route, addCounts(totals.get(route) ?? { good: 0, total: 0 }, gained));
    }
  }
  return [...totals]
    .map(([route, counts]) => ({ route, ...counts, rate: computeBurnRate(counts, target) }))
    .sort((a, b) => b.rate - a.rate);
}

function readCounts(text: string): Map<string, EventCounts> {
  const counts = new Map<string, EventCounts>();
  for (const [, labels = '', value] of text.matchAll(SAMPLE)) {
    const named = new Map([...labels.matchAll(LABEL)].map(([, name, label]) => [name, label]));
    const route = named.get('route') ?? '?';
    const known = counts.get(route) ?? { good: 0, total: 0 };
    const count = Number(value);
    const good = named.get('quality') === GOOD ? count : 0;
    counts.set(route, addCounts(known, { good, total: count }));
  }
  return counts;
}

function subtract(later: EventCounts, earlier: EventCounts | undefined): EventCounts {
  if (earlier === undefined || later.total < earlier.total) return later;
  return { good: later.good - earlier.good, total: later.total - earlier.total };
}
