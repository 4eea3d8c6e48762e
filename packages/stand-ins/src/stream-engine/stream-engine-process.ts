/** Entry point of a process with one `StreamEngine`; see there for its options, input and output. */
import { writeSync } from 'node:fs';
import { createInterface } from 'node:readline';
import type { ConductPlan } from './engine-conduct.ts';
import { StreamEngine } from './stream-engine.ts';
import type { StreamEngineOptions } from './stream-engine.ts';

const options = JSON.parse(process.env['STREAM_ENGINE_OPTIONS'] ?? '{}') as StreamEngineOptions;
// Written at once, so that a record survives a kill right after it.
const engine = new StreamEngine(options, (record) => writeSync(1, `${JSON.stringify(record)}\n`));
createInterface({ input: process.stdin })
  .on('line', (line) => (engine.conducts = JSON.parse(line) as ConductPlan))
  // The process ends with the one that started it.
  .on('close', () => process.exit());
void engine.start().then(() => writeSync(1, '{"kind":"listening"}\n'));
