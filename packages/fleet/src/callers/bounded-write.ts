/** Writes to callers that may read slowly or not at all. */
import type { ServerResponse } from 'node:http';

/** Bytes of answers that may wait for one caller. */
export const MAX_CALLER_BUFFER_BYTES = 4 * 1024 * 1024;

/**
 * Writes a part of an answer. A caller for which too much waits already is cut off, which also cancels
 * its request; others are not held up by it.
 */
export function writeBounded(response: ServerResponse, data: Buffer | string): void {
  if (response.destroyed) return;
  response.write(data);
  if (response.writableLength > MAX_CALLER_BUFFER_BYTES) response.destroy();
}
