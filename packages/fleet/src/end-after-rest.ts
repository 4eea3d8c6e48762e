/**
 * Ends responses to requests that aren't whole. A connection that is closed with unread bytes is reset, and its
 * caller may lose the response; so the rest of the request is read first.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Longest time for which the rest of a request is read, in ms. */
const MAX_REST_MS = 1_000;

/**
 * Ends a response whose last bytes were written, and which closes its connection: once the rest of its request
 * has come, or after a while.
 */
export function endAfterRest(request: IncomingMessage, response: ServerResponse): void {
  const timer = setTimeout(() => response.end(), MAX_REST_MS);
  request.once('end', () => response.end());
  response.once('close', () => clearTimeout(timer));
  request.resume();
}
