/**
 * Decides which processes read the configuration service, and how often. In each data centre a few
 * routers, the readers, watch the service by long polling. They are selected by rendezvous hashing of
 * the live routers' names, so no election is needed. Every other process polls the service at an
 * interval that grows with the fleet, and so finds a revision that no reader has forwarded to it.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Routers of one data centre that watch the service for the next revision. */
export const READERS_PER_DATA_CENTRE = 3;

/** Upper bound of the polls per second by all processes that are not readers. */
export const MAX_POLLS_PER_SECOND = 600;

/** Shortest time between two polls by one process. */
export const MIN_POLL_INTERVAL_MS = 1_500;

/** Fleet size, in processes, that is assumed until the host list has been read. */
export const ASSUMED_PROCESS_COUNT = 4_240;

const SECOND_MS = 1_000;

/** Selects the readers of a data centre from its live routers. */
export function selectConfigurationReaders(
  dataCentre: string,
  routers: readonly string[],
): Set<string> {
  const ranked = rankByRendezvous(`configuration readers of ${dataCentre}`, routers);
  return new Set(ranked.slice(0, READERS_PER_DATA_CENTRE));
}

/** Time between two polls by one process, in a fleet of `processes`. */
export function computePollIntervalMs(processes: number): number {
  return Math.max(MIN_POLL_INTERVAL_MS, (processes * SECOND_MS) / MAX_POLLS_PER_SECOND);
}
