/**
 * `smoke`: runs a few scenarios in under two minutes. Fails if a request is lost, run twice or answered
 * wrongly.
 */
import { fileURLToPath } from 'node:url';
import { readScenario, runExperiment } from '../experiment/experiment.ts';
import { printResult, writeResult } from '../experiment/app.ts';

const SCENARIOS = ['izvor-ordinary', 'izvor-faults', 'trinacria-uneven'];

/** Measures that must be 0 in every run. */
const ZERO_MEASURES = ['lost', 'wrong', 'doubled'];

/** Entry of the `smoke` command. */
export const smokeCommand = {
  name: 'smoke',
  summary: 'small suite of scenarios, one run each',
  run: runSmoke,
};

async function runSmoke(): Promise<void> {
  const failures: string[] = [];
  const startedAt = performance.now();
  for (const name of SCENARIOS) {
    const file = fileURLToPath(new URL(`../../scenarios/${name}.toml`, import.meta.url));
    const result = await runExperiment(readScenario(file), 1);
    await writeResult(result, 'smoke');
    printResult(result);
    for (const measure of ZERO_MEASURES) {
      const most = result.measures[measure]?.most ?? 0;
      if (most > 0) failures.push(`${name}: ${measure} ${most}`);
    }
  }
  const seconds = Math.round((performance.now() - startedAt) / 1_000);
  if (failures.length > 0) process.exitCode = 1;
  console.log(JSON.stringify({ seconds, scenarios: SCENARIOS.length, faults: failures }));
}
