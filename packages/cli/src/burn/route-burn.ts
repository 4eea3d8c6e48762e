/**
 * Burn rates of routes between two scrapes of the routers' metrics: the ratio of judged calls that were
 * incomplete or late to the number of such calls that the target allows.
 */
import { addCounts, computeBurnRate } from '@poplarpick/decisions';
import type { EventCounts } from '@poplarpick/decisions';

const SAMPLE_PATTERN = /^poplarpick_calls_judged_total\{([^}]*)\} ([\d.e+]+)$/gm;
const LABEL_PATTERN = /(\w+)="([^"]*)"/g;
const GOOD_QUALITY = 'good';

/** Metrics of one router in the text format, scraped at two times. */
export interface ScrapePair {
  before: string;
  after: string;
}

/** Burn rate of one route over all routers. */
export interface RouteBurn extends EventCounts {
  route: string;
  /** Ratio of bad calls to the number that the target allows. */
  rate: number;
}

/**
 * Computes the burn rate of each route, the highest first. A counter that decreased was reset by a restart
 * of its process, so its later value counts in full.
 */
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
