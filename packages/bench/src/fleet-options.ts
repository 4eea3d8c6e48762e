/** Command-line options that the bench commands for fleets of a given size share. */
import { parseArgs } from 'node:util';

/** Parsed options. */
export interface FleetOptions {
  seed: number;
  processes: number;
}

/** Parses `--seed` and `--processes`. Accepts `--json` without effect, since the output is always JSON. */
export function parseFleetOptions(args: string[]): FleetOptions {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      processes: { type: 'string', default: '8' },
      json: { type: 'boolean', default: false },
    },
  });
  return { seed: Number(values.seed), processes: Number(values.processes) };
}
