/** Reads files for commands, so that a missing or faulty one ends the command with a clear message. */
import { readFileSync } from 'node:fs';
import type { Command } from '@oclif/core';
import { ConfigurationError } from '@poplarpick/decisions';
import { ExitCode } from './exit-code.ts';

/** Reads and parses a file; ends the command with exit code 2 where that fails. */
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

/** The message for an operator about a file that cannot be used. */
export function describeFileError(error: unknown, file: string): string {
  if (error instanceof ConfigurationError) return error.message;
  if (error instanceof Error && 'code' in error && error.code === 'ENOENT')
    return `${file}: no such file`;
  return `${file}: ${error instanceof Error ? error.message : String(error)}`;
}
