/** Entry point of the binary: registers the commands with oclif and runs the one that was called. */
import { Config, flush, handle, Plugin, run } from '@oclif/core';
import type { Command } from '@oclif/core';
import { loadCommands } from './commands.ts';
import { PRODUCT_NAME, VERSION } from './version.ts';

/** Package data that oclif usually reads from package.json, which the binary does not ship. */
const PACKAGE_JSON = {
  name: PRODUCT_NAME,
  version: VERSION,
  description: 'Shares model engines fairly between workspaces under a power cap.',
  oclif: {
    bin: PRODUCT_NAME,
    topicSeparator: ' ',
    commands: { strategy: 'explicit', target: 'bundled', identifier: 'COMMANDS' },
    topics: {
      config: { description: 'Check settings and fleet configurations.' },
      report: { description: 'Show reports on the whole fleet.' },
      drain: { description: 'Follow planned stops.' },
      'stand-in': { description: 'Run simple stand-ins for external systems, for trials.' },
    },
  },
};

/** Private cache of a plug-in. Filling it stops oclif from loading commands from files, which are bundled here. */
interface CommandCache {
  commandCache: Record<string, Command.Class>;
}

async function main(): Promise<void> {
  const root = process.cwd();
  const plugin = new Plugin({
    root,
    pjson: PACKAGE_JSON as never,
    isRoot: true,
    ignoreManifest: true,
  });
  const args = process.argv.slice(2);
  (plugin as unknown as CommandCache).commandCache = await loadCommands(args);
  await plugin.load();
  const config = await Config.load({
    root,
    pjson: PACKAGE_JSON as never,
    plugins: new Map([[plugin.name, plugin]]),
  });
  await run(args, config);
  await flush();
  // Idle keep-alive connections would delay the exit of the process by seconds.
  process.exit();
}

main().catch(async (error: unknown) => handle(error as Error));
