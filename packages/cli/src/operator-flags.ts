/** Flags of the commands that query running processes over the operators' interface. */
import { Flags } from '@oclif/core';

/** Addresses of the processes to query, and the key for them. */
export const operatorFlags = {
  at: Flags.string({
    required: true,
    multiple: true,
    description: "base URL of a process's operators address; one is enough to discover the fleet",
  }),
  key: Flags.string({
    required: true,
    env: 'POPLARPICK_OPERATOR_KEY',
    description: 'operator key',
  }),
};
