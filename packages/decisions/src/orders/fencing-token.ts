/**
 * Fencing numbers that rise over restarts without storage: the wall clock in the upper bits, a counter
 * in the lower ones, and never below what the engine shows to have seen. A clock that was set back is
 * thus made up for by the engine's memory, and an engine that has forgotten by the clock.
 */

/** Bits below the milliseconds, for orders within the same millisecond. */
const COUNTER_BITS = 16n;

const DIGITS = 16;

const FORMAT = /^[0-9a-f]{16}$/;

/**
 * The next number, in hexadecimal of fixed width, so that numbers compare as text.
 * `seen` is the highest that the engine shows, `last` the last that this process gave; empty for none.
 */
export function nextFencingToken(nowMs: number, seen: string, last: string): string {
  const byClock = BigInt(Math.max(0, Math.floor(nowMs))) << COUNTER_BITS;
  const floor = [seen, last].filter((text) => FORMAT.test(text)).map((text) => BigInt(`0x${text}`));
  const highest = floor.reduce((most, value) => (value > most ? value : most), 0n);
  const next = byClock > highest ? byClock : highest + 1n;
  return next.toString(16).padStart(DIGITS, '0');
}
