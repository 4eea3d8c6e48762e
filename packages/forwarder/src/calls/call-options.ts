/** What a call is made of. */
import type { ServerResponse } from 'node:http';
import type { Route, StreamOrigin } from '@poplarpick/decisions';
import type { RouterState } from '../router-state.ts';
import type { Call } from './call.ts';
import type { CallPlacer } from './call-placer.ts';
import type { CallHead } from './call-protocol.ts';

/** A call that has passed the checks of the ingress, and its dependencies. */
export interface CallOptions {
  state: RouterState;
  placer: CallPlacer;
  head: CallHead;
  route: Route;
  pool: string;
  /** Origin of the stream that the call resumes; undefined if it resumes none. */
  origin: StreamOrigin | undefined;
  /** The last event of that stream that the caller has; undefined if it resumes none. */
  resumedAfter: number | undefined;
  workspace: string | undefined;
  body: Buffer | undefined;
  response: ServerResponse;
  /** Monotonic time of arrival, in ms. */
  arrivedAt: number;
  /** Whether the caller's connection is closed after this response. */
  shouldCloseConnection: () => boolean;
  /** Whether the API key still belongs to the workspace; checked again before each retry. */
  isKeyValid: () => boolean;
  /** Whether what is left of a planned stop of this router can hold an attempt; asked before each further one. */
  fitsStop: () => boolean;
  onEnd: (call: Call) => void;
}
