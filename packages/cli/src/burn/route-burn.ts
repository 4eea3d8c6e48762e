/**
 * Burn of routes between two scrapes of routers' metrics: of all calls that count, how many were not whole
 * and on time, over how many the target allows.
 */
import { addCounts, computeBurnRate } from '@poplarpick/decisions';
import type { EventCounts } from '@poplarpick/decisions';

const SAMPLE_PATTERN = /^poplarpick_calls_judged_total\{([^}]*)\} ([\d.e+]+)$/gm;
const LABEL_PATTERN = /(\w+)="([^"]*)"/g;
const GOOD_QUALITY = 'good';

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
    const previousCounts = parseCounts(before);
    for (const [route, counts] of parseCounts(after)) {
      const increase = computeIncrease(counts, previousCounts.get(route));
      totals.set(route, addCounts(totals.get(route) ?? { good: 0, total: 0 }, increase));
    }
  }
  return [...totals]
    .map(([route, counts]) => ({ route, ...counts, rate: computeBurnRate(counts, target) }))
    .sort((a, b) => b.rate - a.rate);
}

function parseCounts(text: string): Map<string, EventCounts> {
  const counts = new Map<string, EventCounts>();
  for (const [, labels = '', value] of text.matchAll(SAMPLE_PATTERN)) {
    const labelValues = new Map(
      [...labels.matchAll(LABEL_PATTERN)].map(([, name, label]) => [name, label]),
    );
    const route = labelValues.get('route') ?? '?';
    const current = counts.get(route) ?? { good: 0, total: 0 };
    const count = Number(value);
    const good = labelValues.get('quality') === GOOD_QUALITY ? count : 0;
    counts.set(route, addCounts(current, { good, total: count }));
  }
  return counts;
}

function computeIncrease(later: EventCounts, earlier: EventCounts | undefined): EventCounts {
  if (earlier === undefined || later.total < earlier.total) return later;
  return { good: later.good - earlier.good, total: later.total - earlier.total };
}
