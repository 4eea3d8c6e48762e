/**
 * Whether a model endpoint could take more than it gets: no prompt waits there, a slot is free, its streams bear another
 * one, and nothing speaks against sending it more. An endpoint that is silent or fails looks idle too, but isn't.
 */
import { SURPLUS_PACE_LIMIT } from '@poplarpick/decisions';
import type { StreamPace } from '@poplarpick/decisions';
import type { EndpointRecord } from './endpoint-directory.ts';

/** What tells whether an endpoint is idle, beside its record. */
export interface IdlenessContext {
  streamPace: Pick<StreamPace, 'paceUsed'>;
  /** The endpoint has got as many requests as it takes now. */
  isExhausted: boolean;
  now: number;
}

/** Whether a model endpoint is idle. */
export function isIdle(record: EndpointRecord, context: IdlenessContext): boolean {
  const { endpoint, load, incarnation } = record;
  const { streamPace, isExhausted, now } = context;
  if (isExhausted || load.isUnhealthy(now)) return false;
  const { prefillTokens, pending, running } = load.totalLoad(now);
  if (prefillTokens > 0 || pending + running >= endpoint.slots) return false;
  return streamPace.paceUsed(incarnation, now) < SURPLUS_PACE_LIMIT;
}
