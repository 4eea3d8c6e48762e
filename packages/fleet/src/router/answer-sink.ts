/** Where the answer of one request goes: the connection of its caller. */
import type { RequestError } from '@poplarpick/kernel';
import type { AnswerEnd } from '../messages.ts';

/** Receives an answer: frames in order, then exactly one of `finish` and `fail`. */
export abstract class AnswerSink {
  abstract deliver(data: Buffer): void;
  abstract finish(end: AnswerEnd): void;
  abstract fail(error: RequestError): void;
}
