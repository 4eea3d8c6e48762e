// Bundles the entry point for the users' platform into one file, target/poplarpick.cjs.
import { build } from 'esbuild';

const unused = ['typescript', 'ts-node', 'unix-dgram', 'msgpackr-extract', 'moleculer-repl'];

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/poplarpick.cjs',
  bundle: true,
  platform: 'node',
  target: 'node24',
  format: 'cjs',
  minifyWhitespace: true,
  legalComments: 'none',
  external: unused,
  logLevel: 'error',
});
