// Builds dist/poplarpick, a single executable: the pinned Node.js with the bundled program embedded.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, readFileSync, statSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';
import { pinnedRuntime } from './pinned-runtime.mjs';

const node = pinnedRuntime();
const config = 'dist/sea-config.json';
const blob = 'dist/poplarpick.blob';
const binary = 'dist/poplarpick';

writeFileSync(
  config,
  JSON.stringify({
    main: 'dist/poplarpick.cjs',
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
    // A small young generation reduces the memory of an idle process. It is enough because few objects
    // outlive the handling of a frame.
    execArgv: ['--max-semi-space-size=2'],
    execArgvExtension: 'none',
  }),
);
execFileSync(node, ['--experimental-sea-config', config], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(node, binary);
chmodSync(binary, 0o755);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), {
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
console.error(`${binary}: ${Math.round(statSync(binary).size / 1024 / 1024)} MiB`);
