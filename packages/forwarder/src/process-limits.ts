/** What the host allows one process, and the listeners that keep to it. */
import { budgetOfMemory, connectionLimitsOf } from '@poplarpick/decisions';
import type { ConnectionLimits } from '@poplarpick/decisions';
import { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import type { Clock, Logger } from '@poplarpick/kernel';

/** Limits of the host for one process. */
export interface ProcessLimits {
  /** Memory, in bytes. */
  memoryBytes: number;
  descriptors: number;
}

/** Limits of a process whose settings name none. */
const DEFAULT_PROCESS_LIMITS: ProcessLimits = {
  memoryBytes: 350 * 1_024 * 1_024,
  descriptors: 4_096,
};

/** The listeners of a process, and how many connections each may have. */
export interface LimitedListeners {
  listeners: ProcessListeners;
  connectionLimits: ConnectionLimits;
}

/** Creates the listeners of a process; without limits, those of a small host hold. */
export function createListeners({
  clock,
  log,
  limits = DEFAULT_PROCESS_LIMITS,
}: {
  clock: Clock;
  log: Logger;
  limits?: ProcessLimits | undefined;
}): LimitedListeners {
  const { memoryBytes } = limits;
  const budgetBytes = budgetOfMemory(memoryBytes);
  return {
    listeners: new ProcessListeners({ clock, log, budgetBytes, memoryBytes }),
    connectionLimits: connectionLimitsOf(limits),
  };
}
