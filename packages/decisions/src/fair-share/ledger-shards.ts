/** Assigns the ledger of each kind of endpoint to routers; processes with the same list of routers agree. */
import type { EndpointKind } from '../configuration/fleet-configuration.ts';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Ledger shards of each kind: the first serves totals for scheduling, the second is its standby. */
export const LEDGER_SHARD_COUNT = 2;

/** Returns the routers that hold the ledger of `kind`, the primary first. */
export function rankLedgerShards(kind: EndpointKind, routers: readonly string[]): string[] {
  return rankByRendezvous(`ledger ${kind}`, routers).slice(0, LEDGER_SHARD_COUNT);
}
