/** `poplarpick stand-in model-engine`. */
import { Command, Flags } from '@oclif/core';
import { ModelEngine } from '@poplarpick/stand-ins';
import { addressFlag, runStandIn } from '../run-stand-in.ts';

export class StandInModelEngine extends Command {
  static override description = 'Run a stand-in of a model engine.';
  static override flags = {
    ...addressFlag,
    model: Flags.string({ multiple: true, required: true, description: 'model that it serves' }),
    'step-ms': Flags.integer({ default: 10, description: 'time of a step with one sequence' }),
    'sequence-ms': Flags.integer({
      default: 1,
      description: 'time that each further sequence adds to a step',
    }),
    'batch-limit': Flags.integer({ default: 64, description: 'sequences that run at once' }),
    'lag-ms': Flags.integer({ default: 200, description: 'lag of load reports and cache events' }),
    'cache-event-gap': Flags.integer({
      default: 0,
      description: 'lose one of every so many cache events',
    }),
    'checks-fencing': Flags.boolean({
      default: true,
      allowNo: true,
      description: 'refuse old fencing numbers',
    }),
    'weight-store': Flags.string({ description: 'base URL of the weight store' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(StandInModelEngine);
    const engine = new ModelEngine({
      models: flags.model,
      pace: {
        baseStepMs: flags['step-ms'],
        perSequenceMs: flags['sequence-ms'],
        batchLimit: flags['batch-limit'],
      },
      lagMs: flags['lag-ms'],
      cacheEventLossInterval: flags['cache-event-gap'],
      checksFencing: flags['checks-fencing'],
      ...(flags['weight-store'] === undefined ? {} : { weightStore: flags['weight-store'] }),
    });
    await runStandIn(this, engine, flags.address);
  }
}
