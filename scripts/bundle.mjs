// Bundles the command line into one file, dist/poplarpick.cjs, which the tests, the bench and the binary run.
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

// Optional dependencies of libraries, such as other transports, that this project does not use.
const unused = ['typescript', 'ts-node', 'unix-dgram', 'msgpackr-extract', 'moleculer-repl'];

// The Node.js build of vega-canvas loads a canvas with top-level await, which a CommonJS bundle cannot
// contain. Where no canvas is installed the browser build behaves the same.
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
  // Identifiers are not minified, since error messages contain them. Minifying with esbuild's keepNames
  // instead slowed the hot paths: its helper runs each time a function is created.
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
