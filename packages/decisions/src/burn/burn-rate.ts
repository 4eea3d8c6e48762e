/**
 * Burn rates: how fast an error budget is used up. A rate of 1 uses exactly the budget that the target
 * allows; an alert needs a high rate over a long window, so that it matters, and over a short one, so
 * that it still goes on.
 */

/** Good and all events of one objective. */
export interface EventCounts {
  good: number;
  total: number;
}

/** What a burn asks of operators. */
export enum BurnAlert {
  None = 'none',
  /** To be looked at within the working day. */
  Ticket = 'ticket',
  /** To be looked at now. */
  Page = 'page',
}

/** Two windows that must both burn at a rate for an alert. */
export interface BurnRule {
  alert: BurnAlert;
  longMs: number;
  shortMs: number;
  rate: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Windows over which burn is reported, the shortest first. */
export const BURN_WINDOWS_MS = [5 * MINUTE_MS, 30 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS] as const;

/** Longest window, over which the budget that is left is reported. */
export const BUDGET_WINDOW_MS = 6 * HOUR_MS;

/**
 * Rules, the most urgent first. The rates use up 2% and 5% of a budget of 30 days within the long
 * window.
 */
export const BURN_RULES: readonly BurnRule[] = [
  { alert: BurnAlert.Page, longMs: HOUR_MS, shortMs: 5 * MINUTE_MS, rate: 14.4 },
  { alert: BurnAlert.Ticket, longMs: 6 * HOUR_MS, shortMs: 30 * MINUTE_MS, rate: 6 },
];

/** Burn of one objective. */
export interface BurnStatus {
  /** Rate over each of `BURN_WINDOWS_MS`; 0 where nothing happened. */
  rates: number[];
  /** Share of the error budget of the longest window that is left; negative where it is overspent. */
  budgetLeft: number;
  alert: BurnAlert;
}

/** Bad events over those that the target allows. `target` is the least share of good events. */
export function computeBurnRate({ good, total }: EventCounts, target: number): number {
  if (total === 0) return 0;
  return (total - good) / total / (1 - target);
}

/** Judges the counts of each of `BURN_WINDOWS_MS`, in that order. */
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

/** Adds counts up. */
export function addCounts(first: EventCounts, second: EventCounts): EventCounts {
  return { good: first.good + second.good, total: first.total + second.total };
}
