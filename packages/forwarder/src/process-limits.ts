/** What the host allows one process, and the listeners that keep to it. */
import { budgetOfMemory, connectionLimitsOf } from '@poplarpick/decisions';
import type { ConnectionLimits } from '@poplarpick/decisions';
import { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import type { Clock, Logger } from '@poplarpick/kernel';

/** Limits of the host for one process, as far as they are known. */
export interface ProcessLimits {
  /** Memory, in bytes. */
  memoryBytes?: number | undefined;
  descriptors?: number | undefined;
}

/** Memory of a small host, in bytes. */
const SMALL_MEMORY_BYTES = 350 * 1_024 * 1_024;

/** Descriptors of a process on a small host. */
const SMALL_DESCRIPTORS = 4_096;

/** The listeners of a process, and how many connections each may have. */
export interface LimitedListeners {
  listeners: ProcessListeners;
  connectionLimits: ConnectionLimits;
}

/**
 * Creates the listeners of a process. Where a limit isn't known, that of a small host holds; but garbage is collected by hand
 * only where the memory of the host is known, since the process may share it with much else.
 */
export function createListeners({
  clock,
  log,
  limits = {},
}: {
  clock: Clock;
  log: Logger;
  limits?: ProcessLimits | undefined;
}): LimitedListeners {
  const { memoryBytes = SMALL_MEMORY_BYTES, descriptors = SMALL_DESCRIPTORS } = limits;
  const budgetBytes = budgetOfMemory(memoryBytes);
  return {
    listeners: new ProcessListeners({
      clock,
      log,
      budgetBytes,
      memoryBytes: limits.memoryBytes,
    }),
    connectionLimits: connectionLimitsOf({ descriptors, memoryBytes }),
  };
}
