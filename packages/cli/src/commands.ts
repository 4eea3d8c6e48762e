/** All commands by their ids; a colon separates a topic from its command. */
import type { Command } from '@oclif/core';
import { ConfigCheck } from './commands/config-check.ts';
import { Demo } from './commands/demo.ts';
import { DrainWatchCommand } from './commands/drain-watch.ts';
import { KeysMake } from './commands/keys-make.ts';
import { RouterCommand } from './commands/router.ts';
import { SidecarCommand } from './commands/sidecar.ts';
import { StandInApplicationEngine } from './commands/stand-in-application-engine.ts';
import { StandInConfigurationService } from './commands/stand-in-configuration-service.ts';
import { StandInHostList } from './commands/stand-in-host-list.ts';
import { StandInModelEngine } from './commands/stand-in-model-engine.ts';
import { StandInWeightStore } from './commands/stand-in-weight-store.ts';
import { Status } from './commands/status.ts';
import { Version } from './commands/version.ts';

export const COMMANDS: Record<string, Command.Class> = {
  'config:check': ConfigCheck,
  demo: Demo,
  'keys:make': KeysMake,
  'drain:watch': DrainWatchCommand,
  router: RouterCommand,
  sidecar: SidecarCommand,
  'stand-in:application-engine': StandInApplicationEngine,
  'stand-in:configuration-service': StandInConfigurationService,
  'stand-in:host-list': StandInHostList,
  'stand-in:model-engine': StandInModelEngine,
  'stand-in:weight-store': StandInWeightStore,
  status: Status,
  version: Version,
};
