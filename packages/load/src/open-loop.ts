/**
 * Open-loop arrivals: requests are due at planned times whether or not earlier ones have ended, and a
 * delay is counted from the time that a request was due, so that a slow system hides nothing.
 */
import type { Random } from './random.ts';

/** One planned arrival. */
export interface Arrival {
  /** Time since the start at which the request is due, in milliseconds. */
  dueMs: number;
}

/** Options of `runOpenLoop`. */
export interface OpenLoopOptions {
  /** Mean requests per second. */
  rate: number;
  durationMs: number;
  random: Random;
  /** Sends one request; must not reject. `lateMs` is the time by which it starts after it was due. */
  send: (arrival: Arrival, lateMs: number) => Promise<void>;
}

/** Plans arrivals of a Poisson process. */
export function planArrivals(rate: number, durationMs: number, random: Random): Arrival[] {
  const arrivals: Arrival[] = [];
  if (rate <= 0) return arrivals;
  for (
    let dueMs = random.interarrivalMs(rate);
    dueMs < durationMs;
    dueMs += random.interarrivalMs(rate)
  ) {
    arrivals.push({ dueMs });
  }
  return arrivals;
}

/** Sends planned arrivals when they are due; resolves when the duration is over and all have ended. */
export async function runOpenLoop(options: OpenLoopOptions): Promise<void> {
  const { rate, durationMs, random, send } = options;
  const startedAt = performance.now();
  const open = new Set<Promise<void>>();
  const start = (arrival: Arrival): void => {
    const lateMs = performance.now() - startedAt - arrival.dueMs;
    const exchange = send(arrival, lateMs).finally(() => open.delete(exchange));
    open.add(exchange);
  };
  for (const arrival of planArrivals(rate, durationMs, random)) {
    const waitMs = startedAt + arrival.dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    start(arrival);
  }
  await sleep(Math.max(0, startedAt + durationMs - performance.now()));
  await Promise.all(open);
}

/** Resolves after a time. */
export async function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
