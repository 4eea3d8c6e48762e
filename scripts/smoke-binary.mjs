// Smoke test of the built binary: prints its version, rejects an invalid settings file, runs a short demo.
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import assert from 'node:assert/strict';

const BINARY = 'dist/poplarpick';
const version = JSON.parse(execFileSync(BINARY, ['version', '--json'], { encoding: 'utf8' }));
assert.equal(version.name, 'poplarpick');
assert.match(version.node, /^v24\./);

const folder = mkdtempSync(join(tmpdir(), 'poplarpick-smoke-'));
const invalidFile = join(folder, 'router.toml');
writeFileSync(invalidFile, 'fleet = "x"\nfloot = 1\n');
const check = spawnSync(BINARY, ['config', 'check', invalidFile], { encoding: 'utf8' });
assert.equal(check.status, 2);
assert.match(check.stderr, /unknown key floot/);
rmSync(folder, { recursive: true });

const demo = execFileSync(BINARY, ['demo', '--duration', '5', '--json'], {
  encoding: 'utf8',
  stdio: ['ignore', 'pipe', 'ignore'],
});
const result = JSON.parse(demo.trim().split('\n').at(-1) ?? '');
assert.ok(result.requests > 0, 'the demo sent no requests');
assert.deepEqual([result.lost, result.doubled, result.wrongAnswer], [0, 0, 0]);
console.log(`binary smoke run: ${JSON.stringify(result)}`);
