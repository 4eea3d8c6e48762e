/** `poplarpick stand-in host-list`. */
import { Command, Flags } from '@oclif/core';
import { HostList } from '@poplarpick/stand-ins';
import { addressFlag, runStandIn } from '../run-stand-in.ts';

export class StandInHostList extends Command {
  static override description = 'Run a stand-in for the host list.';
  static override flags = {
    ...addressFlag,
    'lag-ms': Flags.integer({
      default: 0,
      description: 'milliseconds until a change becomes visible',
    }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(StandInHostList);
    await runStandIn(this, new HostList({ lagMs: flags['lag-ms'] }), flags.address);
  }
}
