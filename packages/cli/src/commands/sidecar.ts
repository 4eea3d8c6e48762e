/** `poplarpick sidecar`: runs a sidecar beside an endpoint. */
import { Command, Flags } from '@oclif/core';
import { parseSidecarSettings } from '@poplarpick/decisions';
import { startSidecar } from '@poplarpick/fleet';
import { runKernel } from '../run-until-signal.ts';
import { loadFile } from '../load-file.ts';

export class SidecarCommand extends Command {
  static override description = 'Run a sidecar: it claims requests for the endpoint beside it.';
  static override flags = {
    settings: Flags.string({ char: 's', required: true, description: 'settings file (TOML)' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(SidecarCommand);
    await runKernel(await startSidecar(loadFile(this, flags.settings, parseSidecarSettings)));
  }
}
