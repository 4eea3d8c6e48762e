/**
 * Fencing tokens that increase monotonically across restarts without storage. A token has the wall
 * clock in its upper bits and a counter in its lower bits, and exceeds the highest token that the engine
 * reports. The engine's report makes up for a clock that was set back, and the clock makes up for an
 * engine that lost its state.
 */

/** Number of bits below the milliseconds, which count orders within one millisecond. */
const COUNTER_BITS = 16n;

const HEX_DIGITS = 16;

const TOKEN_FORMAT = /^[0-9a-f]{16}$/;

/**
 * The next token, in hexadecimal of fixed width, so that tokens compare as text. `seen` is the highest
 * token that the engine reports, `last` the last one that this process issued; either is empty for none.
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
