/** Waiting in tests without a timeout of their own: that of the test ends the wait. */
import { sleep } from '@poplarpick/load';

const DEFAULT_POLL_INTERVAL_MS = 2;

/** Options of `pollUntil`. */
export interface PollOptions {
  /** Time between two checks of the condition, in ms. */
  intervalMs?: number;
}

/** Waits until a condition holds. */
export async function pollUntil(
  condition: () => boolean | Promise<boolean>,
  { intervalMs = DEFAULT_POLL_INTERVAL_MS }: PollOptions = {},
): Promise<void> {
  while (!(await condition())) await sleep(intervalMs);
}
