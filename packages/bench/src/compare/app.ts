/** `compare`: compares two result files of a scenario. */
import { readFileSync } from 'node:fs';
import { compareMeasures } from './comparison.ts';
import type { ExperimentResult } from '../experiment/experiment.ts';

/** Entry of the `compare` command. */
export const compareCommand = {
  name: 'compare',
  summary: 'compare two results of a scenario  BEFORE.json AFTER.json',
  run: runCompare,
};

async function runCompare(args: string[]): Promise<void> {
  const [before, after] = args;
  if (before === undefined || after === undefined) throw new Error('name two result files');
  const comparisons = compareMeasures(readResult(before).measures, readResult(after).measures);
  console.table(
    comparisons.map(({ measure, before: first, after: second, change, differs }) => ({
      measure,
      before: round(first.median),
      after: round(second.median),
      change: change === null ? '–' : `${(change * 100).toFixed(1)}%`,
      verdict: differs ? 'differs' : 'within the spread',
    })),
  );
  console.log(JSON.stringify(comparisons));
  return Promise.resolve();
}

function readResult(file: string): ExperimentResult {
  return JSON.parse(readFileSync(file, 'utf8')) as ExperimentResult;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}
