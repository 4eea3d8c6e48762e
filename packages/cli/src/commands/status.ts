/** `poplarpick status`: what a process says about itself and what it sees of the fleet. */
import { Command, Flags } from '@oclif/core';
import { ExitCode } from '../exit-code.ts';
import { fetchStatus } from '../operator-client.ts';
import type { ProcessStatus } from '../operator-client.ts';

export class Status extends Command {
  static override description = 'Show the status of one or more processes.';
  static override enableJsonFlag = true;
  static override flags = {
    at: Flags.string({
      required: true,
      multiple: true,
      description: "base URL of a process's operators address",
    }),
    key: Flags.string({
      required: true,
      env: 'POPLARPICK_OPERATOR_KEY',
      description: 'operator key',
    }),
  };

  override async run(): Promise<{ processes: ProcessStatus[] }> {
    const { flags } = await this.parse(Status);
    const processes = await Promise.all(flags.at.map((url) => this.fetch(url, flags.key)));
    for (const status of processes) this.show(status);
    return { processes };
  }

  private async fetch(url: string, key: string): Promise<ProcessStatus> {
    try {
      return await fetchStatus(url, key);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return this.error(`${url}: ${reason}`, { exit: ExitCode.Unreachable });
    }
  }

  private show(status: ProcessStatus): void {
    const { process: identity, configuration, ...sections } = status;
    this.log(`${identity.host}  ${identity.role}  ${identity.dataCentre}`);
    this.log(`  revision ${configuration.revision}  preset ${configuration.preset ?? '-'}`);
    for (const [name, section] of Object.entries(sections))
      this.log(`  ${name}  ${JSON.stringify(section)}`);
  }
}
