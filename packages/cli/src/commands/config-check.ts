/** `poplarpick config check`: validates settings or a fleet configuration without starting a process. */
import { Args, Command, Flags } from '@oclif/core';
import {
  parseFleetConfiguration,
  parseRouterSettings,
  parseSidecarSettings,
} from '@poplarpick/decisions';
import { parseSettingsFile } from '@poplarpick/platform/settings-file';
import { ExitCode } from '../exit-code.ts';
import { describeFileError } from '../load-file.ts';
import { readFileSync } from 'node:fs';

/** Kind of a file that can be checked. */
export enum FileKind {
  Router = 'router',
  Sidecar = 'sidecar',
  Fleet = 'fleet',
  /** Settings that the users' platform writes for one process. */
  Platform = 'platform',
}

const PARSERS: Record<FileKind, (text: string, source: string) => unknown> = {
  [FileKind.Router]: parseRouterSettings,
  [FileKind.Sidecar]: parseSidecarSettings,
  [FileKind.Fleet]: parseFleetConfiguration,
  [FileKind.Platform]: (text, source) => parseSettingsFile(text, source),
};

export class ConfigCheck extends Command {
  static override description = 'Check settings of a process or a fleet configuration.';
  static override args = {
    file: Args.string({ required: true, description: 'file to check (TOML)' }),
  };
  static override enableJsonFlag = true;
  static override flags = {
    kind: Flags.option({
      options: Object.values(FileKind),
      description: 'kind of the file; guessed if absent',
    })(),
  };

  override async run(): Promise<{
    file: string;
    kind: FileKind;
    valid: boolean;
    problems: string[];
  }> {
    const { args, flags } = await this.parse(ConfigCheck);
    const { file } = args;
    const kind = flags.kind ?? this.guessKind(file);
    const problems = this.findProblems(file, kind);
    const valid = problems.length === 0;
    if (valid) this.log(`${file}: valid ${kind} file`);
    else process.exitCode = ExitCode.Usage;
    for (const problem of problems) this.logToStderr(problem);
    return { file, kind, valid, problems };
  }

  private findProblems(file: string, kind: FileKind): string[] {
    try {
      PARSERS[kind](readFileSync(file, 'utf8'), file);
      return [];
    } catch (error) {
      return describeFileError(error, file).split('\n');
    }
  }

  /** Only a fleet configuration has a revision, platform settings a provider, sidecar settings an endpoint table. */
  private guessKind(file: string): FileKind {
    let text = '';
    try {
      text = readFileSync(file, 'utf8');
    } catch (error) {
      this.error(describeFileError(error, file), { exit: ExitCode.Usage });
    }
    if (/^\s*revision\s*=/m.test(text)) return FileKind.Fleet;
    if (/^\s*(\[provider\]|provider\s*=)/m.test(text)) return FileKind.Platform;
    return /^\s*\[endpoint\]/m.test(text) ? FileKind.Sidecar : FileKind.Router;
  }
}
