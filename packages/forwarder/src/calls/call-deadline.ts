/** Deadline of a call: what its caller allows, and its route at most. */
import type { Route } from '@poplarpick/decisions';
import type { CallHead } from './call-protocol.ts';

/** Monotonic time of the deadline of a call that arrived at `arrivedAt`, in ms. */
export function callDeadlineAt(head: CallHead, route: Route, arrivedAt: number): number {
  return arrivedAt + Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
}
