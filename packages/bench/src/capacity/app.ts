/**
 * `capacity`: measures resource use at several sizes, fits slopes, extrapolates them to the design
 * size, and writes `docs/capacity.json` and the tables of `docs/CAPACITY.md`.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { format, resolveConfig } from 'prettier';
import { measureConfigurations } from './configuration-cost.ts';
import { DESIGN_SIZE, LIMITS } from './design-size.ts';
import { computeDesignLinks } from './design-links.ts';
import { fillPageTables } from './page.ts';
import type { CapacityResult } from './page.ts';
import { projectLines } from './projection.ts';
import { fitSlopes } from './slopes.ts';
import {
  sweepBacklog,
  sweepChanges,
  sweepLoad,
  sweepNeighbours,
  sweepRouters,
  sweepSidecars,
} from './sweeps.ts';
import type { Sweep } from './sweeps.ts';

const RESULT_FILE = 'docs/capacity.json';
const PAGE_FILE = 'docs/CAPACITY.md';

/** Entry of the `capacity` command. */
export const capacityCommand = {
  name: 'capacity',
  summary:
    'slopes at several sizes and what each role needs at the design size  [--dry] [--from FILE]',
  run: runCapacity,
};

async function runCapacity(args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: { dry: { type: 'boolean', default: false }, from: { type: 'string' } },
  });
  const result =
    values.from === undefined ? await measureCapacity() : recomputeProjection(values.from);
  console.table(
    result.lines.map(({ role, quantity, value, limit, over }) => ({
      role,
      quantity,
      value,
      limit,
      over,
    })),
  );
  if (!values.dry) {
    writeFileSync(RESULT_FILE, `${JSON.stringify(result, null, 2)}\n`);
    const page = fillPageTables(readFileSync(PAGE_FILE, 'utf8'), result);
    const style = await resolveConfig(PAGE_FILE);
    writeFileSync(PAGE_FILE, await format(page, { ...style, parser: 'markdown' }));
  }
  const over = result.lines
    .filter((line) => line.over)
    .map((line) => `${line.role}: ${line.quantity}`);
  console.log(JSON.stringify({ seconds: result.seconds, over }));
}

/** Computes the slopes and lines again from the measurements in a result file. */
function recomputeProjection(file: string): CapacityResult {
  const previous = JSON.parse(readFileSync(file, 'utf8')) as CapacityResult;
  const links = computeDesignLinks();
  return {
    ...previous,
    links,
    slopes: fitSlopes(previous.sweeps),
    lines: projectLines({ ...previous, links }),
  };
}

async function measureCapacity(): Promise<CapacityResult> {
  const startedAt = performance.now();
  const [load = 0] = loadavg();
  const configurations = measureConfigurations();
  const sweeps: Sweep[] = [];
  for (const sweep of [sweepSidecars, sweepRouters, sweepNeighbours, sweepChanges, sweepBacklog]) {
    sweeps.push(await sweep());
    console.error(`measured ${sweeps.at(-1)?.name ?? ''}`);
  }
  sweeps.push(...(await sweepLoad()));
  const links = computeDesignLinks();
  return {
    command: 'npm run bench:capacity',
    seconds: Math.round((performance.now() - startedAt) / 1_000),
    loadAverage: load,
    design: DESIGN_SIZE,
    limits: LIMITS,
    links,
    sweeps,
    configurations,
    slopes: fitSlopes(sweeps),
    lines: projectLines({ sweeps, configurations, links }),
  };
}
