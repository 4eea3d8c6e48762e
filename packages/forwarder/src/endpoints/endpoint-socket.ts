/** What is known of one socket of a connection to an endpoint, and what handles a response that comes over it. */
import type { Dispatcher } from 'undici';
import type { ProcessFinding } from './process-finding.ts';

/** What is known of one socket of a connection. */
export interface EndpointSocket {
  /** Monotonic time at which the connection was asked for, in ms. */
  openingAt: number;
  /** Monotonic time at which it was open; infinite before. */
  openedAt: number;
  /** Over it, the process has named the start that the endpoint's entry names. */
  hasTold: boolean;
  /** What the process behind it has answered when the first stream began over it; undefined if it wasn't asked. */
  earlyFinding: Promise<ProcessFinding> | undefined;
}

/** Receives the response to a request. */
export interface EndpointHandler extends Dispatcher.DispatchHandler {
  /** Called when the request has failed before undici has taken it. */
  onDispatchError: (error: Error) => void;
  /** Whether undici was told to pause, and hasn't been told to go on since; never by default. */
  readonly isPaused?: boolean;
  /** Called when the connection ends in an orderly way, before undici learns of it. */
  onConnectionEnd?: () => void;
}

/** What is known of a socket before it is open; `openingAt` is the monotonic time at which it was asked for, in ms. */
export function createSocket(openingAt: number): EndpointSocket {
  return { openingAt, openedAt: Number.POSITIVE_INFINITY, hasTold: false, earlyFinding: undefined };
}
