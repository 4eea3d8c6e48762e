/** `poplarpick stand-in configuration-service`. */
import { Command, Flags } from '@oclif/core';
import { parseFleetConfiguration } from '@poplarpick/decisions';
import { ConfigurationService } from '@poplarpick/stand-ins';
import { readFileSync } from 'node:fs';
import { addressFlag, runStandIn } from '../run-stand-in.ts';
import { loadFile } from '../load-file.ts';

export class StandInConfigurationService extends Command {
  static override description = 'Run a stand-in for the configuration service.';
  static override flags = {
    ...addressFlag,
    file: Flags.string({ description: 'fleet configuration to publish (TOML)' }),
    'calls-per-second': Flags.integer({
      default: 2_000,
      description: 'rate limit for the calls of all readers together',
    }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(StandInConfigurationService);
    const service = new ConfigurationService({ callsPerSecond: flags['calls-per-second'] });
    if (flags.file !== undefined) {
      const { revision } = loadFile(this, flags.file, parseFleetConfiguration);
      service.publish(revision, readFileSync(flags.file, 'utf8'));
    }
    await runStandIn(this, service, flags.address);
  }
}
