/** Entry point of the binary. */
import { Config, flush, handle, Plugin, run } from '@oclif/core';
import type { Command } from '@oclif/core';
import { loadCommands } from './commands.ts';
import { PRODUCT_NAME, VERSION } from './version.ts';

/** What oclif reads from a package file, since the binary has none beside it. */
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
      report: { description: 'Reports on the whole fleet.' },
      drain: { description: 'Follow planned stops.' },
      'stand-in': { description: 'Run small stand-ins of outside systems, for trials.' },
    },
  },
};

/** oclif loads commands from files; here they are part of the program already. */
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
  // Kept-alive connections would hold the process for seconds after its work is done.
  process.exit();
}

main().catch(async (error: unknown) => handle(error as Error));
