/** The commands of the bench, by name. */
import { configCommand } from './config/app.ts';
import { decisionCostCommand } from './decision-cost/app.ts';
import { drainCommand } from './drain/app.ts';
import { fairnessCommand } from './fairness/app.ts';
import { faultsCommand } from './faults/app.ts';
import { floodCommand } from './flood/app.ts';
import { latencyCommand } from './latency/app.ts';
import { membershipCommand } from './membership/app.ts';
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
    configCommand,
    drainCommand,
    membershipCommand,
    powerCommand,
  ];
}
