/**
 * `poison`: replays days with prompts that crash engines, and with other disruptions, and prints how many such
 * requests reach engines and how many sound ones are refused. Fails if a replay breaks a bound.
 */
import { parseArgs } from 'node:util';
import { findBrokenBounds } from './poison-bounds.ts';
import { Day, planDay } from './poison-day.ts';
import type { DayOverrides } from './poison-day.ts';
import { PoisonReplay } from './poison-replay.ts';
import type { PoisonResult } from './poison-tally.ts';

/** Entry of the `poison` command. */
export const poisonCommand = {
  name: 'poison',
  summary:
    'prompts that crash engines, and other crashes, replayed  [--day NAME ...] [--seed N] [--seeds N] [--routers N] [--data-centres N] [--engines N] [--rate N] [--poison-rate N] [--loss F] [--seconds N] [--json]',
  run: runPoison,
};

const MS_PER_SECOND = 1_000;

async function runPoison(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      day: { type: 'string', multiple: true, default: [] },
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      routers: { type: 'string' },
      'data-centres': { type: 'string' },
      engines: { type: 'string' },
      rate: { type: 'string' },
      'poison-rate': { type: 'string' },
      loss: { type: 'string' },
      seconds: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  });
  const overrides = withoutMissing({
    routers: toNumber(values.routers),
    dataCentres: toNumber(values['data-centres']),
    engines: toNumber(values.engines),
    requestsPerSecond: toNumber(values.rate),
    poisonPerSecond: toNumber(values['poison-rate']),
    loss: toNumber(values.loss),
    durationMs: values.seconds === undefined ? undefined : Number(values.seconds) * MS_PER_SECOND,
  });
  const results: PoisonResult[] = [];
  for (const day of selectDays(values.day)) {
    const firstSeed = Number(values.seed);
    for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
      const result = new PoisonReplay(planDay(day, seed, overrides)).run();
      results.push(result);
      report(result, values.json);
    }
  }
  if (!values.json) console.table(results);
  return Promise.resolve();
}

function report(result: PoisonResult, isJson: boolean): void {
  const broken = findBrokenBounds(result);
  if (isJson) console.log(JSON.stringify({ ...result, broken }));
  else if (broken.length > 0)
    console.log(`${result.day}, seed ${result.seed}: ${broken.join(', ')}`);
  if (broken.length > 0) process.exitCode = 1;
}

/** The named days, or all. */
function selectDays(names: readonly string[]): Day[] {
  const days = Object.values(Day);
  const unknown = names.filter((name) => !days.some((day) => day === name));
  if (unknown.length > 0) {
    throw new Error(`unknown days ${unknown.join(', ')}; known are ${days.join(', ')}`);
  }
  return names.length === 0 ? days : days.filter((day) => names.includes(day));
}

function toNumber(value: string | undefined): number | undefined {
  return value === undefined ? undefined : Number(value);
}

/** Leaves out what wasn't given, so that the seed decides. */
function withoutMissing(values: Record<string, number | undefined>): DayOverrides {
  return Object.fromEntries(Object.entries(values).filter(([, value]) => value !== undefined));
}
