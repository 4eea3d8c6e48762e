/** `fuzz`: a soak of the frame decoder and the callers' interface with random input. */
import { parseArgs } from 'node:util';
import { planSmallSite } from '../faults/schedule-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import {
  checkCallersBytes,
  checkCallersInput,
  checkFramesArrive,
  checkFramesRefused,
} from './fuzz-properties.ts';

/** The command's entry in the bench. */
export const fuzzCommand = {
  name: 'fuzz',
  summary: 'random input to frames and callers  [--seed S] [--cases N] [--exchanges N] [--json]',
  run: runFuzz,
};

async function runFuzz(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      cases: { type: 'string', default: '100000' },
      exchanges: { type: 'string', default: '5000' },
      json: { type: 'boolean', default: false },
    },
  });
  const seed = Number(values.seed);
  const cases = Number(values.cases);
  const exchanges = Number(values.exchanges);
  checkFramesArrive({ cases, seed });
  checkFramesRefused({ cases, seed });
  checkCallersInput({ cases, seed });
  const fleet = await ProcessFleet.start({ plan: planSmallSite(), routers: 1 });
  try {
    await checkCallersBytes(fleet.routers[0]?.callersAddress ?? '', { cases: exchanges, seed });
  } finally {
    await fleet.stop();
  }
  console.log(
    JSON.stringify({ seed, frameCases: 2 * cases, callerCases: cases, exchanges, failures: 0 }),
  );
}
