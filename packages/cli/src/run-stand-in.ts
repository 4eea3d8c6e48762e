/** Runs one stand-in until a signal. */
import type { Command } from '@oclif/core';
import { Flags } from '@oclif/core';
import type { StandIn } from '@poplarpick/stand-ins';
import { runUntilSignal } from './run-until-signal.ts';

/** The flag that every stand-in has. */
export const addressFlag = {
  address: Flags.string({
    default: '127.0.0.1:0',
    description: 'address to listen on; port 0 picks one',
  }),
};

/** Starts a stand-in, prints its URL and serves until a signal. */
export async function runStandIn(
  command: Command,
  standIn: StandIn,
  address: string,
): Promise<void> {
  await standIn.start(address);
  command.log(standIn.url);
  await runUntilSignal({ drain: () => standIn.stop() });
}
