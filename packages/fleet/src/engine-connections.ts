/**
 * Connections to engines carry one request each. The protocol between a sidecar and its engine puts no id into a
 * response, and a faulty engine may write an earlier one once more on a connection that is kept: its refusal would
 * count for a request that the engine runs, so that the caller may send it again, and its confirmation for an order
 * that it hasn't obeyed. A sidecar runs beside its engine, so that a new connection costs little.
 */
import type { Agent } from 'undici';

/** Options by which an HTTP agent closes each connection after its response. */
export const ONE_REQUEST_PER_CONNECTION: Pick<Agent.Options, 'pipelining'> = { pipelining: 0 };
