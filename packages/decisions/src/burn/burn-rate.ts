/**
 * Burn rates: how fast an error budget is consumed. A rate of 1 consumes exactly the budget that the
 * target allows. An alert needs a high rate over a long window, which shows that the burn is
 * significant, and over a short window, which shows that it is still going on.
 */

/** Numbers of good events and of all events of one objective. */
export interface EventCounts {
  good: number;
  total: number;
}

/** Urgency with which operators are alerted. */
export enum BurnAlert {
  None = 'none',
  /** Needs attention within the working day. */
  Ticket = 'ticket',
  /** Needs attention immediately. */
  Page = 'page',
}

/** An alert, and the burn rate that must be reached in both windows to raise it. */
export interface BurnRule {
  alert: BurnAlert;
  longMs: number;
  shortMs: number;
  rate: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Windows over which burn rates are reported, in ascending order. */
export const BURN_WINDOWS_MS = [5 * MINUTE_MS, 30 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS] as const;

/** Longest window, over which the remaining error budget is reported. */
export const BUDGET_WINDOW_MS = 6 * HOUR_MS;

/**
 * Alert rules, the most urgent first. At these rates, the long window consumes 2% and 5% of a 30-day
 * error budget.
 */
export const BURN_RULES: readonly BurnRule[] = [
  { alert: BurnAlert.Page, longMs: HOUR_MS, shortMs: 5 * MINUTE_MS, rate: 14.4 },
  { alert: BurnAlert.Ticket, longMs: 6 * HOUR_MS, shortMs: 30 * MINUTE_MS, rate: 6 },
];

/** Burn rates, remaining budget and alert of one objective. */
export interface BurnStatus {
  /** Burn rate over each of `BURN_WINDOWS_MS`; 0 without events. */
  rates: number[];
  /** Remaining share of the longest window's error budget; negative if the budget is exceeded. */
  budgetLeft: number;
  alert: BurnAlert;
}

/** Ratio of bad events to those that `target`, the minimum share of good events, allows. */
export function computeBurnRate({ good, total }: EventCounts, target: number): number {
  if (total === 0) return 0;
  return (total - good) / total / (1 - target);
}

/** Evaluates the alert rules on the counts of each of `BURN_WINDOWS_MS`, in that order. */
export function evaluateBurn(counts: readonly EventCounts[], target: number): BurnStatus {
  const rates = BURN_WINDOWS_MS.map((_, index) =>
    computeBurnRate(counts[index] ?? { good: 0, total: 0 }, target),
  );
  const findRate = (windowMs: number): number =>
    rates[BURN_WINDOWS_MS.findIndex((entry) => entry === windowMs)] ?? 0;
  const rule = BURN_RULES.find(
    ({ longMs, shortMs, rate }) => findRate(longMs) >= rate && findRate(shortMs) >= rate,
  );
  return {
    rates,
    budgetLeft: 1 - findRate(BUDGET_WINDOW_MS),
    alert: rule?.alert ?? BurnAlert.None,
  };
}

/** Sums two counts. */
export function addCounts(first: EventCounts, second: EventCounts): EventCounts {
  return { good: first.good + second.good, total: first.total + second.total };
}
