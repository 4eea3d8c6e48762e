/** Which routers hold the ledger of a kind of endpoint; every process that sees the same routers agrees. */
import type { EndpointKind } from '../configuration/fleet-configuration.ts';
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Shards of each kind: the first answers choices, the second follows in case the first is lost. */
export const LEDGER_SHARD_COUNT = 2;

/** Routers that hold the ledger of `kind`, the first before the second. */
export function rankLedgerShards(kind: EndpointKind, routers: readonly string[]): string[] {
  return rankByRendezvous(`ledger ${kind}`, routers).slice(0, LEDGER_SHARD_COUNT);
}
