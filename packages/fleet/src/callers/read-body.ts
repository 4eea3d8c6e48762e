/** Reads request bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { BodyReader } from '../body-reader.ts';

/** Reads the whole body. Rejects with `body_too_large` as soon as it exceeds the limit. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const createTooLargeError = (): RequestError => createBodyTooLargeError(limitBytes);
  const body = await new BodyReader(request, { limitBytes, createTooLargeError }).read();
  return body ?? Buffer.alloc(0);
}

function createBodyTooLargeError(limitBytes: number): RequestError {
  return new RequestError(`the body is over ${limitBytes} bytes`, {
    code: ErrorCode.BodyTooLarge,
    verdict: Verdict.NotRun,
    limit: 'body_limit_bytes',
  });
}
