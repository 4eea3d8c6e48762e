// Bundles the program into one file, dist/poplarpick.cjs, which the tests, the bench and the binary run.
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

// Optional parts of libraries, such as other transports, that this product does not use.
const unused = ['typescript', 'ts-node', 'unix-dgram', 'msgpackr-extract', 'moleculer-repl'];

// The plot library's part for Node.js looks for a canvas by top-level await, which a program in one
// file cannot hold; without a canvas both parts do the same.
const canvas = fileURLToPath(
  new URL('../node_modules/vega-canvas/build/vega-canvas.browser.js', import.meta.url),
);

const result = await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/poplarpick.cjs',
  bundle: true,
  platform: 'node',
  target: 'node24',
  format: 'cjs',
  // Names are kept as they are written: errors tell them, and a helper that kept them in shortened code
  // cost the hot paths time at each function that is made.
  minifyWhitespace: process.argv.includes('--minify'),
  minifySyntax: process.argv.includes('--minify'),
  legalComments: 'none',
  external: unused,
  alias: { 'vega-canvas': canvas },
  logLevel: 'error',
  metafile: true,
});
const [output] = Object.values(result.metafile.outputs);
console.error(`dist/poplarpick.cjs: ${Math.round((output?.bytes ?? 0) / 1024)} KiB`);
