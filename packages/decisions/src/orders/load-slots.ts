/**
 * Schedules when an endpoint may load weights, so that the whole fleet stays within the read rate of
 * the weight store without shared state. Wall-clock time is divided into slots. Each slot belongs to one
 * endpoint, which every process computes from the configuration alone.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

const SECOND_MS = 1_000;

/** Options of `nextLoadSlot`. */
export interface LoadSlotOptions {
  /** Reads per second that the weight store allows to the whole fleet. */
  readsPerSecond: number;
  /** Largest difference between the clocks of two hosts; slots are longer by as much. */
  clockSkewMs: number;
  /** Endpoints for which the preset in force desires a state. */
  endpoints: readonly string[];
}

/** A time slot in which one endpoint may start one load. */
export interface LoadSlot {
  /** Number of the slot, counted from the Unix epoch. */
  index: number;
  /** Wall-clock time at which the slot begins, in milliseconds since the Unix epoch. */
  startsAt: number;
}

/** Length of a slot in milliseconds. */
export function computeLoadSlotMs({ readsPerSecond, clockSkewMs }: LoadSlotOptions): number {
  return Math.ceil(SECOND_MS / readsPerSecond) + clockSkewMs;
}

/** The endpoint's first slot that begins at or after `now`. Throws for an unknown endpoint. */
export function nextLoadSlot(options: LoadSlotOptions, endpoint: string, now: number): LoadSlot {
  const slotMs = computeLoadSlotMs(options);
  const ranked = rankByRendezvous('weight store', options.endpoints);
  const position = ranked.indexOf(endpoint);
  if (position < 0) throw new Error(`endpoint ${endpoint} has no load slots`);
  const firstIndex = Math.ceil(now / slotMs);
  const slotsToWait = (position - (firstIndex % ranked.length) + ranked.length) % ranked.length;
  const index = firstIndex + slotsToWait;
  return { index, startsAt: index * slotMs };
}
