/**
 * Registry of all commands by id; a colon separates a topic from its command. The module of a command is
 * imported on demand, so that a router or sidecar process does not load the modules of other commands.
 */
import type { Command } from '@oclif/core';

type CommandLoader = () => Promise<Command.Class>;

const COMMAND_LOADERS: Record<string, CommandLoader> = {
  'config:check': async () => (await import('./commands/config-check.ts')).ConfigCheck,
  demo: async () => (await import('./commands/demo.ts')).Demo,
  explain: async () => (await import('./commands/explain.ts')).Explain,
  'keys:make': async () => (await import('./commands/keys-make.ts')).KeysMake,
  load: async () => (await import('./commands/load.ts')).Load,
  'report:burn': async () => (await import('./commands/report-burn.ts')).ReportBurn,
  'drain:watch': async () => (await import('./commands/drain-watch.ts')).DrainWatchCommand,
  router: async () => (await import('./commands/router.ts')).RouterCommand,
  sidecar: async () => (await import('./commands/sidecar.ts')).SidecarCommand,
  'stand-in:application-engine': async () =>
    (await import('./commands/stand-in-application-engine.ts')).StandInApplicationEngine,
  'stand-in:configuration-service': async () =>
    (await import('./commands/stand-in-configuration-service.ts')).StandInConfigurationService,
  'stand-in:host-list': async () =>
    (await import('./commands/stand-in-host-list.ts')).StandInHostList,
  'stand-in:model-engine': async () =>
    (await import('./commands/stand-in-model-engine.ts')).StandInModelEngine,
  'stand-in:weight-store': async () =>
    (await import('./commands/stand-in-weight-store.ts')).StandInWeightStore,
  status: async () => (await import('./commands/status.ts')).Status,
  where: async () => (await import('./commands/where.ts')).Where,
  version: async () => (await import('./commands/version.ts')).Version,
};

/** Loads the command that the arguments name, or all commands for the help if they name none. */
export async function loadCommands(
  args: readonly string[],
): Promise<Record<string, Command.Class>> {
  const [first = '', second = ''] = args;
  const id = [`${first}:${second}`, first].find((name) => Object.hasOwn(COMMAND_LOADERS, name));
  const ids = id === undefined ? Object.keys(COMMAND_LOADERS) : [id];
  const commands = await Promise.all(ids.map((name) => COMMAND_LOADERS[name]?.()));
  return Object.fromEntries(
    commands.flatMap((command, index) => (command === undefined ? [] : [[ids[index], command]])),
  ) as Record<string, Command.Class>;
}
