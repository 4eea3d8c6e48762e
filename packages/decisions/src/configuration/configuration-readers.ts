/**
 * Who reads the configuration service, and how often. In each data centre a few routers wait in
 * watches; which ones follows from the names of the live routers, so nobody is elected. Every other
 * process checks the service from time to time, in a period that grows with the fleet, and so finds a
 * revision that no reader has passed on to it.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

/** Routers of one data centre that wait for the next revision at the service. */
export const READERS_PER_DATA_CENTRE = 3;

/** Checks a second that all processes that are no readers make in all. */
export const MAX_POLLS_PER_SECOND = 600;

/** Shortest time between two checks by one process. */
export const MIN_POLL_INTERVAL_MS = 1_500;

/** Processes that are assumed until the host list has been read. */
export const ASSUMED_PROCESS_COUNT = 4_240;

const SECOND_MS = 1_000;

/** The readers of a data centre among its live routers. */
export function selectConfigurationReaders(
  dataCentre: string,
  routers: readonly string[],
): Set<string> {
  const ranked = rankByRendezvous(`configuration readers of ${dataCentre}`, routers);
  return new Set(ranked.slice(0, READERS_PER_DATA_CENTRE));
}

/** Time between two checks by one of `processes`. */
export function computePollIntervalMs(processes: number): number {
  return Math.max(MIN_POLL_INTERVAL_MS, (processes * SECOND_MS) / MAX_POLLS_PER_SECOND);
}
