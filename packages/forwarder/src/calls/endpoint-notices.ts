/** What endpoints say of themselves in their responses, whichever request they answer. */
import { DrainSource } from '@poplarpick/decisions';
import type { EndpointDirectory, EndpointRecord } from '../endpoints/endpoint-directory.ts';
import type { ResponseHead } from './call-protocol.ts';

/** Records whether an endpoint says in the head of a response that it drains, or that it wants a pause. */
export function recordNotices(
  endpoints: Pick<EndpointDirectory, 'drain' | 'pause'>,
  record: EndpointRecord,
  head: ResponseHead,
): void {
  if (head.isDraining) endpoints.drain(record, DrainSource.Endpoint);
  if (head.pause !== undefined) endpoints.pause(record, head.pause);
}
