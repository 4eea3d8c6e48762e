/** `poplarpick demo`: runs a fleet in one process and sends a load to it. */
import { Command, Flags } from '@oclif/core';
import { DemoFleet } from '../demo/demo-fleet.ts';
import { DemoLoad } from '../demo/demo-load.ts';
import type { DemoResult } from '../demo/demo-load.ts';
import { runUntilSignal } from '../run-until-signal.ts';

const PROGRESS_INTERVAL_MS = 2_000;

export class Demo extends Command {
  static override description =
    'Run the fleet of a small site in one process, with stand-ins and a load.';
  static override flags = {
    duration: Flags.integer({
      min: 1,
      description: 'seconds of load; without it, the demo runs until a signal',
    }),
    seed: Flags.integer({ default: 1, description: 'seed of the load' }),
    json: Flags.boolean({ description: 'also print the result as one line of JSON at the end' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(Demo);
    const fleet = await DemoFleet.start();
    this.printAddresses(fleet);
    const load = new DemoLoad(fleet, flags.seed);
    const progress = setInterval(
      () => this.logToStderr(load.formatProgress()),
      PROGRESS_INTERVAL_MS,
    );
    if (flags.duration === undefined) await runUntilSignal({ drain: async () => load.stop() });
    else await load.runFor(flags.duration * 1_000);
    clearInterval(progress);
    const result = await load.finish();
    await fleet.stop();
    this.printResult(result, flags.json);
  }

  private printAddresses(fleet: DemoFleet): void {
    for (const { name, url } of fleet.listAddresses()) this.log(`${name.padEnd(24)} ${url}`);
    this.log('');
    this.log(fleet.buildCurlCommand());
    this.log('');
  }

  private printResult(result: DemoResult, json: boolean): void {
    for (const [name, value] of Object.entries(result)) {
      this.log(
        `${name.padEnd(28)} ${typeof value === 'number' ? round(value) : JSON.stringify(value)}`,
      );
    }
    if (json) this.log(JSON.stringify(result));
  }
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
