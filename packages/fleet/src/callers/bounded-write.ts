/** Backpressure limit for callers that read slowly or not at all. */
import type { ServerResponse } from 'node:http';
import { breakOff } from '../break-off.ts';
import { UntakenAnswer } from '../listening/untaken-answer.ts';

/** Maximum number of unsent response bytes that are buffered for one caller. */
export const MAX_CALLER_BUFFER_BYTES = 4 * 1024 * 1024;

/**
 * Writes a part of an answer. If the unsent bytes exceed the limit, destroys the connection, which
 * also cancels the request. A slow caller thus neither exhausts memory nor delays other callers.
 */
export function writeBounded(response: ServerResponse, data: Buffer | string): void {
  if (response.destroyed) return;
  const canContinue = response.write(data);
  if (!canContinue) UntakenAnswer.of(response)?.record();
  if (response.writableLength > MAX_CALLER_BUFFER_BYTES) breakOff(response);
}
