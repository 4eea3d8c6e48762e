/** Destination of the answer to one request, usually the HTTP response to its caller. */
import type { RequestError } from '@poplarpick/kernel';
import type { AnswerEnd, AnswerFrame } from '../messages.ts';

/** Receives an answer: its frames in order, then exactly one call of `finish` or `fail`. */
export abstract class AnswerSink {
  abstract deliver(data: Buffer): void;
  abstract finish(end: AnswerEnd): void;
  abstract fail(error: RequestError): void;
}

/** The bytes of a frame, without a copy. */
export function frameBytes({ data }: AnswerFrame): Buffer {
  return Buffer.isBuffer(data) ? data : Buffer.from(data.buffer, data.byteOffset, data.byteLength);
}
