// Runs the tests and ends with the line `N passed, N failed, N skipped`. A failure listed in
// KNOWN-RED.txt is printed and counted as skipped. A listed test that passes counts as failed, since
// the list is then out of date. Files named `*.serial.test.ts` run after all others, one test at a time, since
// they check what a process holds beside a load of their own.
import { existsSync, globSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import Mocha from 'mocha';

const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 120_000;

// A test file that starts a fleet of processes keeps about this many cores busy.
const CORES_PER_JOB = 3;
const MAX_JOBS = 4;

function readKnownFailures() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const titles = readFileSync(KNOWN_RED, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).split(' | ', 1)[0].trim());
  return new Set(titles);
}

const patterns = process.argv.slice(2);
const files = globSync(
  patterns.length > 0 ? patterns : ['{packages/*,platform}/src/**/*.test.ts'],
).sort();
const knownFailing = readKnownFailures();
const isSerial = (file) => file.endsWith('.serial.test.ts');
const jobs = Math.max(1, Math.min(MAX_JOBS, Math.floor(availableParallelism() / CORES_PER_JOB)));

const counts = { passed: 0, failed: 0, skipped: 0 };
const expectedFailures = [];
const unexpectedPasses = [];

async function runFiles(paths, { isParallel }) {
  if (paths.length === 0) return;
  const mocha = new Mocha({
    timeout: TEST_TIMEOUT_MS,
    forbidOnly: true,
    reporter: 'spec',
    parallel: isParallel,
    jobs,
  });
  paths.forEach((path) => mocha.addFile(path));
  if (!isParallel) await mocha.loadFilesAsync();
  await new Promise((resolve) => {
    const runner = mocha.run(resolve);
    runner.on('pass', (test) => {
      if (knownFailing.has(test.fullTitle())) unexpectedPasses.push(test.fullTitle());
      else counts.passed += 1;
    });
    runner.on('fail', (test) => {
      if (knownFailing.has(test.fullTitle())) expectedFailures.push(test.fullTitle());
      else counts.failed += 1;
    });
    runner.on('pending', () => (counts.skipped += 1));
  });
}

const sideBySide = files.filter((file) => !isSerial(file));
await runFiles(sideBySide, { isParallel: sideBySide.length > 1 });
await runFiles(files.filter(isSerial), { isParallel: false });

for (const title of expectedFailures) console.log(`known red: ${title}`);
for (const title of unexpectedPasses) console.log(`listed in ${KNOWN_RED} but passes: ${title}`);
counts.failed += unexpectedPasses.length;
counts.skipped += expectedFailures.length;
console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped`);
process.exit(counts.failed === 0 && counts.passed > 0 ? 0 : 1);
