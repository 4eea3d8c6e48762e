/** Flags of the commands that ask running processes. */
import { Flags } from '@oclif/core';

/** Where to ask, and with which key. */
export const operatorFlags = {
  at: Flags.string({
    required: true,
    multiple: true,
    description: "base URL of a process's operators address; one leads to the rest of the fleet",
  }),
  key: Flags.string({
    required: true,
    env: 'POPLARPICK_OPERATOR_KEY',
    description: 'operator key',
  }),
};
