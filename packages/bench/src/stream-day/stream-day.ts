/** Plays a day: callers, faults, and the checks of what callers got. */
import { Random, sleep } from '@poplarpick/load';
import { DayCallers } from './day-callers.ts';
import { DayFaults } from './day-faults.ts';
import { planDay } from './day-plan.ts';
import type { DayFaultKind } from './day-plan.ts';
import type { DayOutcome } from './day-report.ts';
import { DaySite } from './day-site.ts';
import type { DaySiteOptions } from './day-site.ts';
import { checkRuns } from './run-checker.ts';

/** Options of a day on a site. */
export interface PlayOptions {
  seed: number;
  durationMs: number;
  /** Mean number of requests a second. */
  perSecond?: number;
  /** Kinds of faults; all by default. */
  kinds?: readonly DayFaultKind[] | undefined;
}

/** Options of a day with a site of its own. */
export interface StreamDayOptions extends PlayOptions, Omit<DaySiteOptions, 'seed'> {}

const DEFAULT_PER_SECOND = 40;
/** Keeps the random numbers of callers apart from those of the faults. */
const CALLERS_SEED_OFFSET = 7_919;
/** Time for the last records of the engines to arrive. */
const RECORDS_MS = 300;

/** Starts a site, plays one day on it, and returns what happened. */
export async function playStreamDay(options: StreamDayOptions): Promise<DayOutcome> {
  const site = await DaySite.start(options);
  try {
    return await playOn(site, options);
  } finally {
    await site.stop();
  }
}

/** Plays a day on a running site; all faults are over when it ends, so that another may follow. */
export async function playOn(site: DaySite, options: PlayOptions): Promise<DayOutcome> {
  const { seed, durationMs, perSecond = DEFAULT_PER_SECOND, kinds } = options;
  const before = site.records.length;
  const callers = new DayCallers(site.routers, new Random(seed + CALLERS_SEED_OFFSET));
  const faults = new DayFaults(site);
  const plan = planDay(new Random(seed), durationMs, kinds);
  await Promise.all([callers.run(durationMs, perSecond), faults.run(plan)]);
  await sleep(RECORDS_MS);
  const records = site.records.slice(before);
  const { requests } = callers;
  const violations = [...callers.violations, ...checkRuns(requests, records)];
  return { requests, records, faults: faults.injected, violations };
}
