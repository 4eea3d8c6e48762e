/** `run`: runs scenario files and writes each result as JSON and as an HTML page with plots. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { readScenario, runExperiment } from './experiment.ts';
import type { ExperimentResult } from './experiment.ts';
import { renderExperiment } from './report.ts';

const RESULTS_FOLDER = 'results';

/** Entry of the `run` command. */
export const experimentCommand = {
  name: 'run',
  summary: 'run scenario files  SCENARIO.toml ... [--runs N] [--label NAME]',
  run: runScenarios,
};

async function runScenarios(args: string[]): Promise<void> {
  const { values, positionals } = parseArgs({
    args,
    allowPositionals: true,
    options: {
      runs: { type: 'string', default: '3' },
      label: { type: 'string', default: 'latest' },
    },
  });
  if (positionals.length === 0) throw new Error('name one or more scenario files');
  const results: ExperimentResult[] = [];
  for (const file of positionals) {
    const result = await runExperiment(readScenario(file), Number(values.runs));
    await writeResult(result, values.label);
    printResult(result);
    results.push(result);
  }
  console.log(JSON.stringify(results.map(({ name, measures }) => ({ name, measures }))));
}

/** Writes `results/NAME.LABEL.json` and `results/NAME.LABEL.html`. */
export async function writeResult(result: ExperimentResult, label: string): Promise<void> {
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  const stem = join(RESULTS_FOLDER, `${result.name}.${label}`);
  writeFileSync(`${stem}.json`, `${JSON.stringify(result, null, 2)}\n`);
  writeFileSync(`${stem}.html`, await renderExperiment(result));
}

/** Prints the measures of a result as a table. */
export function printResult({ name, measures }: ExperimentResult): void {
  console.log(name);
  console.table(measures);
}
