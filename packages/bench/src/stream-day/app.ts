/**
 * `stream-day`: plays a seeded day of real processes (routers, engines) with faults from outside, and reads every
 * stream as a caller does. Prints each violation with its tries, runs and faults, and exits with 1 if there
 * was one.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { DayFaultKind } from './day-plan.ts';
import { countConducts, countViolations, describeViolations } from './day-report.ts';
import { playStreamDay } from './stream-day.ts';

/** Time within which the process should end after its result. */
const END_TIMEOUT_MS = 5_000;

const KINDS = Object.values(DayFaultKind);

/** Entry of the `stream-day` command. */
export const streamDayCommand = {
  name: 'stream-day',
  summary:
    'streams over real processes with faults, read as callers do  [--seed N] [--seconds S] [--rate N] [--routers N] [--router CHECKOUT] [--faults KIND,KIND] [--keep DIR]',
  run: runStreamDay,
};

async function runStreamDay(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '30' },
      rate: { type: 'string', default: '40' },
      routers: { type: 'string', default: '4' },
      router: { type: 'string', default: '.' },
      faults: { type: 'string' },
      keep: { type: 'string' },
    },
  });
  const kinds = values.faults?.split(',').map(parseKind);
  const outcome = await playStreamDay({
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * 1_000,
    perSecond: Number(values.rate),
    routers: Number(values.routers),
    checkout: values.router,
    kinds,
    keep: values.keep,
  });
  const descriptions = describeViolations(outcome);
  const command = `npm run bench -- stream-day ${args.join(' ')}`;
  for (const description of descriptions) console.log(`${description}\n  again: ${command}\n`);
  const { requests, violations, records, faults } = outcome;
  const ends: Record<string, number> = {};
  for (const { tries, route } of requests) {
    const last = tries.at(-1);
    const key = `${route} ${last?.status ?? 0} ${last?.end ?? ''}`;
    ends[key] = (ends[key] ?? 0) + 1;
  }
  const kindCounts: Record<string, number> = {};
  for (const { kind } of violations) kindCounts[kind] = (kindCounts[kind] ?? 0) + 1;
  const result = {
    seed: Number(values.seed),
    seconds: Number(values.seconds),
    router: values.router,
    requests: requests.length,
    ends,
    conducts: countConducts(records),
    faults: faults.length,
    violations: kindCounts,
    cases: countViolations(outcome),
  };
  console.log(JSON.stringify(result, undefined, 1));
  if (values.keep !== undefined) {
    writeFileSync(join(values.keep, 'violations.txt'), descriptions.join('\n\n'));
    writeFileSync(join(values.keep, 'day.json'), JSON.stringify({ ...result, ...outcome }));
  }
  if (violations.length > 0) process.exitCode = 1;
  endLater();
}

/** Ends this process, and tells what kept it, if it doesn't end by itself. */
function endLater(): void {
  setTimeout(() => {
    console.error(`still active: ${process.getActiveResourcesInfo().join(' ')}`);
    process.exit();
  }, END_TIMEOUT_MS).unref();
}

function parseKind(name: string): DayFaultKind {
  const kind = KINDS.find((known) => known === name);
  if (kind === undefined) throw new Error(`no kind of fault ${name}; known: ${KINDS.join(', ')}`);
  return kind;
}
