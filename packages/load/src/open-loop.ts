/**
 * Open-loop load generation. Requests are sent at planned times whether or not earlier ones have
 * ended, and latency counts from the planned time. This avoids coordinated omission, where a slow
 * system delays later requests and so hides their waiting time.
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
  /** Sends one request; must not reject. `lateMs` is how long after its due time it is sent. */
  send: (arrival: Arrival, lateMs: number) => Promise<void>;
}

/** Plans the arrivals of a Poisson process. */
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

/** Sends requests at their due times; resolves when the duration is over and all have ended. */
export async function runOpenLoop(options: OpenLoopOptions): Promise<void> {
  const { rate, durationMs, random, send } = options;
  const startedAt = performance.now();
  const inFlight = new Set<Promise<void>>();
  const startRequest = (arrival: Arrival): void => {
    const lateMs = performance.now() - startedAt - arrival.dueMs;
    const request = send(arrival, lateMs).finally(() => inFlight.delete(request));
    inFlight.add(request);
  };
  for (const arrival of planArrivals(rate, durationMs, random)) {
    const waitMs = startedAt + arrival.dueMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    startRequest(arrival);
  }
  await sleep(Math.max(0, startedAt + durationMs - performance.now()));
  await Promise.all(inFlight);
}

/** Resolves after a delay. */
export async function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
