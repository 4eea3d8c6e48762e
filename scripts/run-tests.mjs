// Runs the tests and ends with the line `N passed, N failed, N skipped`. A failure that KNOWN-RED.txt
// lists is printed and passed over; a listed test that passes is an error, since the list is then out of date.
import { existsSync, globSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import Mocha from 'mocha';

const KNOWN_RED = 'KNOWN-RED.txt';
const TEST_LIMIT_MS = 120_000;

// A file with a fleet of real processes keeps a few cores busy.
const CORES_PER_JOB = 3;
const MOST_JOBS = 4;

function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const titles = readFileSync(KNOWN_RED, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
  return new Set(titles);
}

const patterns = process.argv.slice(2);
const files = globSync(
  patterns.length > 0 ? patterns : ['{packages/*,platform}/src/**/*.test.ts'],
).sort();
const known = readKnownRed();
const jobs = Math.max(1, Math.min(MOST_JOBS, Math.floor(availableParallelism() / CORES_PER_JOB)));
const mocha = new Mocha({
  timeout: TEST_LIMIT_MS,
  forbidOnly: true,
  reporter: 'spec',
  parallel: files.length > 1,
  jobs,
});
files.forEach((file) => mocha.addFile(file));
if (files.length === 1) await mocha.loadFilesAsync();

const counts = { passed: 0, failed: 0, skipped: 0 };
const knownFailures = [];
const knownPasses = [];
const runner = mocha.run(() => {
  for (const title of knownFailures) console.log(`known red: ${title}`);
  for (const title of knownPasses) console.log(`listed in ${KNOWN_RED} but passes: ${title}`);
  counts.failed += knownPasses.length;
  counts.skipped += knownFailures.length;
  console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped`);
  process.exit(counts.failed === 0 && counts.passed > 0 ? 0 : 1);
});
runner.on('pass', (test) => {
  if (known.has(test.fullTitle())) knownPasses.push(test.fullTitle());
  else counts.passed += 1;
});
runner.on('fail', (test) => {
  if (known.has(test.fullTitle())) knownFailures.push(test.fullTitle());
  else counts.failed += 1;
});
runner.on('pending', () => (counts.skipped += 1));
