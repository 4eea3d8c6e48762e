/** The commands of the bench, by name. */
import { configCommand } from './config/app.ts';
import { drainCommand } from './drain/app.ts';
import { latencyCommand } from './latency/app.ts';
import { membershipCommand } from './membership/app.ts';

/** One command of the bench. */
export interface BenchCommand {
  name: string;
  summary: string;
  run(args: string[]): Promise<void>;
}

/** All commands, in the order of the help. */
export function readCommands(): BenchCommand[] {
  return [configCommand, drainCommand, latencyCommand, membershipCommand];
}
