/** `poplarpick load`: sends the load of a scenario to a running fleet; starts no process. */
import { Args, Command } from '@oclif/core';
import { parseToml } from '@poplarpick/decisions';
import { runLoad, scenarioSchema } from '@poplarpick/load';
import type { LoadResult, Scenario } from '@poplarpick/load';
import { ExitCode } from '../exit-code.ts';
import { loadFile } from '../load-file.ts';

export class Load extends Command {
  static override description =
    'Send the load of a scenario file to a running fleet and report what callers received.';
  static override enableJsonFlag = true;
  static override args = {
    scenario: Args.string({ required: true, description: 'scenario file (TOML) with a target' }),
  };

  override async run(): Promise<LoadResult> {
    const { args } = await this.parse(Load);
    const scenario = loadFile(this, args.scenario, (text, source) =>
      parseToml(text, scenarioSchema, source),
    );
    const { target } = scenario;
    if (target === undefined)
      this.error(`${args.scenario}: target: the scenario names no routers`, {
        exit: ExitCode.Usage,
      });
    this.warnAboutFaults(scenario);
    const result = await runLoad({ load: scenario.load, seed: scenario.seed, target });
    this.printResult(result);
    if (result.lost > 0 || result.wrong > 0) process.exitCode = ExitCode.Failure;
    return result;
  }

  private warnAboutFaults({ faults }: Scenario): void {
    if (faults.length > 0)
      this.warn('the faults of the scenario are ignored: only the bench can inject them');
  }

  private printResult(result: LoadResult): void {
    for (const [name, value] of Object.entries(result)) {
      const text =
        typeof value === 'number' ? String(Number(value.toFixed(2))) : JSON.stringify(value);
      this.log(`${name.padEnd(20)} ${text}`);
    }
  }
}
