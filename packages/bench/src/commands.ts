/** The commands of the bench, by name. */
import { capacityCommand } from './capacity/app.ts';
import { latencyCommand } from './latency/app.ts';

/** One command of the bench. */
export interface BenchCommand {
  name: string;
  summary: string;
  run(args: string[]): Promise<void>;
}

/** All commands, in the order of the help. */
export function readCommands(): BenchCommand[] {
  return [capacityCommand, latencyCommand];
}
