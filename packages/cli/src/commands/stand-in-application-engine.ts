/** `poplarpick stand-in application-engine`. */
import { Command, Flags } from '@oclif/core';
import { ApplicationEngine } from '@poplarpick/stand-ins';
import { addressFlag, runStandIn } from '../run-stand-in.ts';

export class StandInApplicationEngine extends Command {
  static override description =
    'Run a stand-in for an application engine that counts runs per business key.';
  static override flags = {
    ...addressFlag,
    'work-ms': Flags.integer({ default: 20, description: 'duration of a call in milliseconds' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(StandInApplicationEngine);
    await runStandIn(this, new ApplicationEngine({ workMs: flags['work-ms'] }), flags.address);
  }
}
