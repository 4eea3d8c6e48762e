/**
 * Reads answers of other systems whole, up to a limit. A faulty system may send without end, and the process that called
 * it would keep all of it; the requests of everybody else would end with that process. So no answer is read whole in
 * any other way.
 */
import { ByteAccumulator } from '@poplarpick/decisions';

const MEBIBYTE = 1_048_576;

/** Largest answer that is read where a small one is expected, in bytes. */
export const SMALL_ANSWER_BYTES = MEBIBYTE;

/** Largest answer with a whole configuration, or with all entries of a site, in bytes. */
export const LARGE_ANSWER_BYTES = 16 * MEBIBYTE;

/** Most parts in which an answer may come: each costs time, also one of a single byte. */
const MAX_PARTS = 16_384;

/** Thrown when an answer is larger than its limit, or comes in too many parts; its connection is closed. */
export class AnswerTooLargeError extends Error {
  constructor(limit: string) {
    super(`the answer has more than ${limit}`);
    this.name = 'AnswerTooLargeError';
  }
}

/** Reads a body as UTF-8 text. Rejects with an `AnswerTooLargeError`, or if the connection fails. */
export async function readBoundedText(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<string> {
  const bytes = new ByteAccumulator();
  // Leaving the loop by an error destroys the body, which closes its connection.
  let parts = 0;
  for await (const chunk of body) {
    parts += 1;
    if (parts > MAX_PARTS) throw new AnswerTooLargeError(`${MAX_PARTS} parts`);
    if (bytes.length + chunk.length > limitBytes)
      throw new AnswerTooLargeError(`${limitBytes} bytes`);
    bytes.push(chunk);
  }
  return bytes.take().toString('utf8');
}

/** Reads a body as JSON. Rejects like `readBoundedText`, and with a `SyntaxError` if it is none. */
export async function readBoundedJson(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<unknown> {
  return JSON.parse(await readBoundedText(body, limitBytes));
}
