/** Registry of the bench commands. */
import { admissionCommand } from './admission/app.ts';
import { capacityCommand } from './capacity/app.ts';
import { compareCommand } from './compare/app.ts';
import { configCommand } from './config/app.ts';
import { crowdCommand } from './crowd/app.ts';
import { decisionCostCommand } from './decision-cost/app.ts';
import { drainCommand } from './drain/app.ts';
import { exchangeCommand } from './exchange/app.ts';
import { experimentCommand } from './experiment/app.ts';
import { fairnessCommand } from './fairness/app.ts';
import { faultsCommand } from './faults/app.ts';
import { floodCommand } from './flood/app.ts';
import { forwardingCommand } from './forwarding/app.ts';
import { fuzzCommand } from './fuzz/app.ts';
import { latencyCommand } from './latency/app.ts';
import { membershipCommand } from './membership/app.ts';
import { poisonCommand } from './poison/app.ts';
import { powerCommand } from './power/app.ts';
import { profileCommand } from './profile/app.ts';
import { smokeCommand } from './smoke/app.ts';
import { soakCommand } from './soak/app.ts';
import { streamDayCommand } from './stream-day/app.ts';
import { utilisationCommand } from './utilisation/app.ts';

/** A bench command. */
export interface BenchCommand {
  name: string;
  summary: string;
  run(args: string[]): Promise<void>;
}

/** Returns all commands in the order of the usage text. */
export function listCommands(): BenchCommand[] {
  return [
    admissionCommand,
    capacityCommand,
    compareCommand,
    decisionCostCommand,
    exchangeCommand,
    experimentCommand,
    fairnessCommand,
    faultsCommand,
    forwardingCommand,
    fuzzCommand,
    configCommand,
    crowdCommand,
    drainCommand,
    floodCommand,
    latencyCommand,
    membershipCommand,
    poisonCommand,
    powerCommand,
    profileCommand,
    smokeCommand,
    soakCommand,
    streamDayCommand,
    utilisationCommand,
  ];
}
