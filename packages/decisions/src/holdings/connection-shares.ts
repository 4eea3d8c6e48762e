/**
 * How many connections each listener of a process may have, from the descriptors of its host. Connections to endpoints,
 * to peers and to the store are made by the process itself; they get what the listeners leave.
 */

import { connectionsOfMemory } from './memory-shares.ts';

/** Descriptors kept for files, pipes and listening sockets. */
const RESERVED_DESCRIPTORS = 200;

/** Part of the sockets for the connections of callers. */
const CALLERS_SHARE = 0.75;

/** Part of the sockets for the connections of peers. */
const PEERS_SHARE = 0.05;

/** Connections for which a listener has room on any host: balancers, operators and collectors of metrics. */
export const MIN_CONNECTIONS = 32;

/** Most connections of each listener. */
export interface ConnectionLimits {
  callers: number;
  /** Of callers that haven't sent a whole head yet: each may have a block of memory that isn't charged. */
  newcomers: number;
  peers: number;
  /** Of each other listener: readiness, metrics. */
  others: number;
}

/** The limits of a process that may have so many descriptors, and so much memory in bytes. */
export function connectionLimitsOf({
  descriptors,
  memoryBytes,
}: {
  descriptors: number;
  memoryBytes: number;
}): ConnectionLimits {
  const sockets = Math.max(0, descriptors - RESERVED_DESCRIPTORS);
  const share = (part: number): number => Math.max(MIN_CONNECTIONS, Math.floor(sockets * part));
  return {
    callers: share(CALLERS_SHARE),
    newcomers: Math.max(MIN_CONNECTIONS, connectionsOfMemory(memoryBytes)),
    peers: share(PEERS_SHARE),
    others: MIN_CONNECTIONS,
  };
}
