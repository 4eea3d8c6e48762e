/** Loads the input files of commands and reports missing or invalid files to the operator. */
import { readFileSync } from 'node:fs';
import type { Command } from '@oclif/core';
import { ConfigurationError } from '@poplarpick/decisions';
import { ExitCode } from './exit-code.ts';

/** Reads and parses a file. If that fails, ends the command with exit code 2 and a message. */
export function loadFile<Parsed>(
  command: Command,
  file: string,
  parse: (text: string, source: string) => Parsed,
): Parsed {
  try {
    return parse(readFileSync(file, 'utf8'), file);
  } catch (error) {
    command.error(describeFileError(error, file), { exit: ExitCode.Usage });
  }
}

/** Describes why a file cannot be read or parsed. */
export function describeFileError(error: unknown, file: string): string {
  if (error instanceof ConfigurationError) return error.message;
  if (error instanceof Error && 'code' in error && error.code === 'ENOENT')
    return `${file}: no such file`;
  return `${file}: ${error instanceof Error ? error.message : String(error)}`;
}
