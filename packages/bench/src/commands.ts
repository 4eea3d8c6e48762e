/** The commands of the bench, by name. */
import { decisionCostCommand } from './decision-cost/app.ts';
import { fairnessCommand } from './fairness/app.ts';
import { faultsCommand } from './faults/app.ts';
import { floodCommand } from './flood/app.ts';
import { fuzzCommand } from './fuzz/app.ts';
import { latencyCommand } from './latency/app.ts';
import { powerCommand } from './power/app.ts';
import { utilisationCommand } from './utilisation/app.ts';

/** One command of the bench. */
export interface BenchCommand {
  name: string;
  summary: string;
  run(args: string[]): Promise<void>;
}

/** All commands, in the order of the help. */
export function readCommands(): BenchCommand[] {
  return [
    latencyCommand,
    fairnessCommand,
    utilisationCommand,
    floodCommand,
    decisionCostCommand,
    faultsCommand,
    fuzzCommand,
    powerCommand,
  ];
}
