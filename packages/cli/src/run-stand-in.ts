/** Runs a stand-in until the process receives a signal. */
import type { Command } from '@oclif/core';
import { Flags } from '@oclif/core';
import type { StandIn } from '@poplarpick/stand-ins';
import { runUntilSignal } from './run-until-signal.ts';

/** Flag that all stand-ins have in common. */
export const addressFlag = {
  address: Flags.string({
    default: '127.0.0.1:0',
    description: 'address to listen on; port 0 picks one',
  }),
};

/** Starts a stand-in, prints its URL and stops it on a signal. */
export async function runStandIn(
  command: Command,
  standIn: StandIn,
  address: string,
): Promise<void> {
  await standIn.start(address);
  command.log(standIn.url);
  await runUntilSignal({ drain: () => standIn.stop() });
}
