/** `poplarpick stand-in model-engine`. */
import { Command, Flags } from '@oclif/core';
import { ModelEngine } from '@poplarpick/stand-ins';
import { addressFlag, runStandIn } from '../run-stand-in.ts';

export class StandInModelEngine extends Command {
  static override description = 'Run a stand-in for a model engine.';
  static override flags = {
    ...addressFlag,
    model: Flags.string({ multiple: true, required: true, description: 'model to serve' }),
    'step-ms': Flags.integer({
      default: 10,
      description: 'duration of a step with one sequence, in milliseconds',
    }),
    'sequence-ms': Flags.integer({
      default: 1,
      description: 'milliseconds that each further sequence adds to a step',
    }),
    'batch-limit': Flags.integer({
      default: 64,
      description: 'maximum number of concurrent sequences',
    }),
    'lag-ms': Flags.integer({
      default: 200,
      description: 'delay of load reports and cache events, in milliseconds',
    }),
    'cache-event-gap': Flags.integer({
      default: 0,
      description: 'lose every n-th cache event; 0 loses none',
    }),
    'checks-fencing': Flags.boolean({
      default: true,
      allowNo: true,
      description: 'refuse orders with a stale fencing token',
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
