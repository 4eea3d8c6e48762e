/** Options that the bench commands on fleets of a given size share. */
import { parseArgs } from 'node:util';

/** Seed of a run and number of its processes. */
export interface FleetOptions {
  seed: number;
  processes: number;
}

/** Reads `--seed` and `--processes`; `--json` is allowed, since the last line is JSON anyway. */
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
