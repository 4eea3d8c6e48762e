/** `fuzz`: tests the frame decoder and the callers' interface with random input. */
import { parseArgs } from 'node:util';
import { planSmallSite } from '../faults/schedule-run.ts';
import { ProcessFleet } from '../process-fleet/process-fleet.ts';
import {
  checkRawCallerBytes,
  checkCallerParsers,
  checkFrameRoundTrip,
  checkFrameDecoderLimit,
} from './fuzz-properties.ts';

/** Entry of the `fuzz` command. */
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
  checkFrameRoundTrip({ cases, seed });
  checkFrameDecoderLimit({ cases, seed });
  checkCallerParsers({ cases, seed });
  const fleet = await ProcessFleet.start({ plan: planSmallSite(), routers: 1 });
  try {
    await checkRawCallerBytes(fleet.routers[0]?.callersAddress ?? '', { cases: exchanges, seed });
  } finally {
    await fleet.stop();
  }
  console.log(
    JSON.stringify({ seed, frameCases: 2 * cases, callerCases: cases, exchanges, failures: 0 }),
  );
}
