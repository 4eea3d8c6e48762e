/**
 * When an endpoint may load weights, so that the whole fleet keeps the weight store's rate with nothing
 * shared: wall-clock time is cut into slots, and each slot belongs to one endpoint that every process
 * computes from the configuration alone.
 */
import { rankByRendezvous } from '../rendezvous/rendezvous.ts';

const SECOND_MS = 1_000;

/** Options of `nextLoadSlot`. */
export interface LoadSlotOptions {
  /** Reads a second that the weight store allows in all. */
  readsPerSecond: number;
  /** Difference between two hosts' clocks that the spacing of slots makes up for. */
  clockSkewMs: number;
  /** Endpoints that the preset in force gives orders to. */
  endpoints: readonly string[];
}

/** A slot of time in which one endpoint may start one load. */
export interface LoadSlot {
  /** Counts the slots since the Unix epoch. */
  index: number;
  /** Wall-clock time at which it begins. */
  startsAt: number;
}

/** Time from the beginning of one slot to that of the next. */
export function computeLoadSlotMs({ readsPerSecond, clockSkewMs }: LoadSlotOptions): number {
  return Math.ceil(SECOND_MS / readsPerSecond) + clockSkewMs;
}

/** The endpoint's slot that begins at `now` or next after it. Throws for an unknown endpoint. */
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
