/** `poplarpick stand-in weight-store`. */
import { Command, Flags } from '@oclif/core';
import { WeightStore } from '@poplarpick/stand-ins';
import { addressFlag, runStandIn } from '../run-stand-in.ts';

export class StandInWeightStore extends Command {
  static override description = 'Run a stand-in for the weight store.';
  static override flags = {
    ...addressFlag,
    'reads-per-second': Flags.integer({
      default: 2,
      description: 'rate limit for the reads of all readers together',
    }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(StandInWeightStore);
    await runStandIn(
      this,
      new WeightStore({ readsPerSecond: flags['reads-per-second'] }),
      flags.address,
    );
  }
}
