/**
 * `exchange`: replays the exchange of reports between routers with lost datagrams and failing routers, and
 * prints how old their knowledge of each other is and what it costs. Fails if a router doesn't know the load
 * of the whole fleet again some time after the last failure.
 */
import { parseArgs } from 'node:util';
import { ExchangeReplay } from './exchange-replay.ts';
import type { ExchangeResult } from './exchange-replay.ts';

/** Entry of the `exchange` command. */
export const exchangeCommand = {
  name: 'exchange',
  summary:
    'reports between routers under failures  [--routers N] [--data-centres N] [--loss F] [--seed N] [--seeds N] [--seconds N] [--calm]',
  run: runExchange,
};

const MS_PER_SECOND = 1_000;
const RECOVERY_MS = 6_000;

async function runExchange(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      routers: { type: 'string', default: '60' },
      'data-centres': { type: 'string', default: '6' },
      loss: { type: 'string', default: '0.05' },
      seed: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '1' },
      seconds: { type: 'string', default: '20' },
      calm: { type: 'boolean', default: false },
    },
  });
  const firstSeed = Number(values.seed);
  for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
    const result = new ExchangeReplay({
      routers: Number(values.routers),
      dataCentres: Number(values['data-centres']),
      loss: Number(values.loss),
      seed,
      durationMs: Number(values.seconds) * MS_PER_SECOND,
      recoveryMs: RECOVERY_MS,
      hasFailures: !values.calm,
    }).run();
    report(seed, result);
  }
  return Promise.resolve();
}

function report(seed: number, result: ExchangeResult): void {
  console.log(JSON.stringify({ seed, ...result }));
  if (result.unconverged.length > 0) process.exitCode = 1;
}
