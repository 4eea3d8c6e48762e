/** Plays a day: callers, faults, and the checks of what callers got. */
import { Random, sleep } from '@poplarpick/load';
import { DayCallers } from './day-callers.ts';
import { DayFaults } from './day-faults.ts';
import { planDay } from './day-plan.ts';
import type { DayFaultKind } from './day-plan.ts';
import type { DayOutcome } from './day-report.ts';
import { DaySite } from './day-site.ts';
import { checkRuns } from './run-checker.ts';

/** Options of a day. */
export interface StreamDayOptions {
  seed: number;
  durationMs: number;
  routers?: number;
  /** Mean number of requests a second. */
  perSecond?: number;
  /** Kinds of faults; all by default. */
  kinds?: readonly DayFaultKind[] | undefined;
  checkout?: string | undefined;
  keep?: string | undefined;
}

const DEFAULT_PER_SECOND = 40;
/** Keeps the random numbers of callers apart from those of the faults. */
const CALLERS_SEED_OFFSET = 7_919;
/** Time for the last records of the engines to arrive. */
const RECORDS_MS = 300;

/** Plays one day and returns what happened. */
export async function playStreamDay(options: StreamDayOptions): Promise<DayOutcome> {
  const { seed, durationMs, perSecond = DEFAULT_PER_SECOND, kinds } = options;
  const { routers = 4, checkout = '.', keep } = options;
  const site = await DaySite.start({ seed, routers, checkout, keep });
  try {
    const callers = new DayCallers(site.routers, new Random(seed + CALLERS_SEED_OFFSET));
    const faults = new DayFaults(site);
    const plan = planDay(new Random(seed), durationMs, kinds);
    await Promise.all([callers.run(durationMs, perSecond), faults.run(plan)]);
    await sleep(RECORDS_MS);
    const { requests } = callers;
    const violations = [...callers.violations, ...checkRuns(requests, site.records)];
    return { requests, records: site.records, faults: faults.injected, violations };
  } finally {
    await site.stop();
  }
}
