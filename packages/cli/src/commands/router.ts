/** `poplarpick router`: runs a router. */
import { Command, Flags } from '@oclif/core';
import { parseRouterSettings } from '@poplarpick/decisions';
import { startRouter } from '@poplarpick/fleet';
import { runKernel } from '../run-until-signal.ts';
import { loadFile } from '../load-file.ts';

export class RouterCommand extends Command {
  static override description =
    'Run a router: it takes requests from callers and grants them to sidecars.';
  static override flags = {
    settings: Flags.string({ char: 's', required: true, description: 'settings file (TOML)' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(RouterCommand);
    await runKernel(await startRouter(loadFile(this, flags.settings, parseRouterSettings)));
  }
}
