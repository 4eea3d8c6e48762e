/** Breaks responses off so that their callers see it. */
import type { ServerResponse } from 'node:http';

/**
 * Closes the connection within a response. One that ends with its connection, as over HTTP/1.0, is reset, since its
 * caller would take an orderly close for the end.
 */
export function breakOff(response: ServerResponse): void {
  if (!response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
}
