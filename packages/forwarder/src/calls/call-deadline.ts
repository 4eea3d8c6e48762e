/** Deadline of a call: what its caller allows, and its route at most. */
import type { Route } from '@poplarpick/decisions';
import type { CallHead } from './call-protocol.ts';

/** Time from the arrival of a call to its deadline, in ms. */
export function callTimeMs({ deadlineMs }: CallHead, { timeoutMs }: Route): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Monotonic time of the deadline of a call that arrived at `arrivedAt`, in ms. */
export function callDeadlineAt(head: CallHead, route: Route, arrivedAt: number): number {
  return arrivedAt + callTimeMs(head, route);
}
