/** Reads request bodies of limited size into memory that is charged to the process's budget. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HoldingKind } from '@poplarpick/decisions';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';
import { BodyReader } from '../body-reader.ts';
import type { MemoryBudget } from '../listening/memory-budget.ts';
import { createNoMemoryError, REQUEST_BYTES } from '../listening/request-holding.ts';

/** Options of `readBody`. */
export interface ReadBodyOptions {
  /** The response that ends the request, and with it what is held for it. */
  response: ServerResponse;
  limitBytes: number;
  budget: MemoryBudget;
  /** The workspace of the request. */
  owner: string;
}

/**
 * Reads the whole body. Rejects with `body_too_large` as soon as it exceeds the limit, and with `overloaded` if there is
 * no memory for it.
 */
export async function readBody(
  request: IncomingMessage,
  { response, limitBytes, budget, owner }: ReadBodyOptions,
): Promise<Buffer> {
  const holding = budget.open({
    kind: HoldingKind.AwaitedBody,
    owner,
    onYield: () => reader.giveUp(createNoMemoryError()),
  });
  const createTooLargeError = (): RequestError => createBodyTooLargeError(limitBytes);
  const reader = new BodyReader(request, { limitBytes, createTooLargeError, budget, holding });
  response.once('close', () => holding.release());
  try {
    if (!holding.hold(REQUEST_BYTES)) throw createNoMemoryError();
    const body = await reader.read();
    holding.become(HoldingKind.ServedRequest);
    return body ?? Buffer.alloc(0);
  } catch (error) {
    holding.release();
    throw error;
  }
}

function createBodyTooLargeError(limitBytes: number): RequestError {
  return new RequestError(`the body is over ${limitBytes} bytes`, {
    code: ErrorCode.BodyTooLarge,
    verdict: Verdict.NotRun,
    limit: 'body_limit_bytes',
  });
}
