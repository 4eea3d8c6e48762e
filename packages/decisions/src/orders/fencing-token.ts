/**
 * Fencing numbers that rise over restarts without storage: the wall clock in the upper bits, a counter
 * in the lower ones, and never below what the engine shows to have seen. A clock that was set back is
 * thus made up for by the engine's memory, and an engine that has forgotten by the clock.
 */

/** Bits below the milliseconds, for orders within the same millisecond. */
const COUNTER_BITS = 16n;

const HEX_DIGITS = 16;

const TOKEN_FORMAT = /^[0-9a-f]{16}$/;

/**
 * The next number, in hexadecimal of fixed width, so that numbers compare as text.
 * `seen` is the highest that the engine shows, `last` the last that this process gave; empty for none.
 */
export function nextFencingToken(nowMs: number, seen: string, last: string): string {
  const clockToken = BigInt(Math.max(0, Math.floor(nowMs))) << COUNTER_BITS;
  const usedTokens = [seen, last]
    .filter((text) => TOKEN_FORMAT.test(text))
    .map((text) => BigInt(`0x${text}`));
  const highestUsed = usedTokens.reduce(
    (highest, value) => (value > highest ? value : highest),
    0n,
  );
  const next = clockToken > highestUsed ? clockToken : highestUsed + 1n;
  return next.toString(16).padStart(HEX_DIGITS, '0');
}
