/**
 * Parses TOML and validates it against a schema. Every problem names the file, the line and, for
 * values, the key path, so that an operator can find it directly.
 */
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import { findKeyLine } from './key-line.ts';

/** Thrown for an invalid document; the message has one line for each problem. */
export class ConfigurationError extends Error {
  readonly problems: readonly string[];

  constructor(source: string, problems: readonly string[]) {
    super(problems.map((problem) => `${source}: ${problem}`).join('\n'));
    this.name = 'ConfigurationError';
    this.problems = problems;
  }
}

/** Parses and validates `text`. Throws `ConfigurationError`, whose messages name the file `source`. */
export function parseToml<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  source: string,
): z.output<Schema> {
  const result = schema.safeParse(parseSyntax(text, source));
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => describeIssue(issue, text));
  throw new ConfigurationError(source, problems);
}

function parseSyntax(text: string, source: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = error.message.split('\n')[0] ?? 'invalid TOML';
    throw new ConfigurationError(source, [`line ${error.line}: ${reason}`]);
  }
}

function describeIssue(issue: z.core.$ZodIssue, text: string): string {
  const path = issue.path.length === 0 ? '(top level)' : formatPath(issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return `${describeLine(text, issue.path)}${path}: ${issue.message}`;
  }
  const line = describeLine(text, [...issue.path, issue.keys[0] ?? '']);
  return `${line}${path}: unknown key ${issue.keys.join(', ')}`;
}

function describeLine(text: string, path: readonly PropertyKey[]): string {
  const line = findKeyLine(text, path);
  return line === undefined ? '' : `line ${line}: `;
}

function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}
