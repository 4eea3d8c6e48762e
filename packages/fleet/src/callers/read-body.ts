/** Reads request bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Reads the whole body. Rejects with `body_too_large` as soon as it exceeds the limit. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > limitBytes) throw createBodyTooLargeError(limitBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) throw createBodyTooLargeError(limitBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function createBodyTooLargeError(limitBytes: number): RequestError {
  return new RequestError(`the body is over ${limitBytes} bytes`, {
    code: ErrorCode.BodyTooLarge,
    verdict: Verdict.NotRun,
    limit: 'body_limit_bytes',
  });
}
