// Bundles the entry point for the users' platform into target/ and fills a compile cache beside it. The
// cache shortens the start of a router, which has half a core and may have callers waiting already.
import { spawnSync } from 'node:child_process';
import { constants, copyFileSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { pinnedRuntime } from './pinned-runtime.mjs';

// Optional dependencies of libraries, such as other transports, that this project does not use.
const unused = ['typescript', 'ts-node', 'unix-dgram', 'msgpackr-extract', 'moleculer-repl'];

const LAUNCHER = `const { enableCompileCache } = require('node:module');
enableCompileCache(__dirname + '/compile-cache');
require('./poplarpick.cjs');
`;

// The deploy file names one path for all kinds of machines.
const RUNTIME = 'target/node';

const result = await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/poplarpick.cjs',
  bundle: true,
  platform: 'node',
  target: 'node24',
  format: 'cjs',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  external: unused,
  logLevel: 'error',
  metafile: process.argv.includes('--sizes'),
});
if (result.metafile !== undefined) printSizes(result.metafile);

rmSync(RUNTIME, { force: true });
copyFileSync(pinnedRuntime(), RUNTIME, constants.COPYFILE_FICLONE);
writeFileSync('target/router.cjs', LAUNCHER);
rmSync('target/compile-cache', { recursive: true, force: true });
// Fills the compile cache: without a settings file the program loads all of its code and exits.
spawnSync(RUNTIME, ['target/router.cjs'], { env: {} });

function printSizes(metafile) {
  const sizes = new Map();
  for (const [path, { bytesInOutput }] of Object.entries(
    Object.values(metafile.outputs)[0].inputs,
  )) {
    const name = /node_modules\/((@[^/]+\/)?[^/]+)/.exec(path)?.[1] ?? 'own';
    sizes.set(name, (sizes.get(name) ?? 0) + bytesInOutput);
  }
  const rows = [...sizes].sort(([, a], [, b]) => b - a).slice(0, 20);
  for (const [name, bytes] of rows) console.log(`${Math.round(bytes / 1024)} KiB ${name}`);
}
