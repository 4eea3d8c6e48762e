/**
 * Reads the body of one request into memory that is charged to the process's budget. Reading can be given up, with the
 * error that refuses the request; the connection is left as it is then, so that the requests behind it can be read.
 */
import type { IncomingMessage } from 'node:http';
import type { RequestError } from '@poplarpick/kernel';
import { BlockBuffer } from './listening/block-pool.ts';
import type { Holding, MemoryBudget } from './listening/memory-budget.ts';
import { createNoMemoryError, REQUEST_BYTES } from './listening/request-holding.ts';

/** Options of a `BodyReader`. */
export interface BodyReaderOptions {
  limitBytes: number;
  /** Creates the error for a body over the limit. */
  createTooLargeError: () => RequestError;
  budget: MemoryBudget;
  /** What is held for the request. */
  holding: Holding;
}

/** Reads a complete body. */
export class BodyReader {
  private readonly request: IncomingMessage;
  private readonly options: BodyReaderOptions;
  private reject: ((error: Error) => void) | undefined;
  private failure: RequestError | undefined;

  constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.request = request;
    this.options = options;
  }

  /** The complete body; undefined without one. Rejects if it is too large or incomplete, or given up. */
  async read(): Promise<Buffer | undefined> {
    const { request } = this;
    const { limitBytes, createTooLargeError, budget } = this.options;
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared > limitBytes) throw createTooLargeError();
    if (declared === 0 && request.headers['transfer-encoding'] === undefined) return undefined;
    const body = new BlockBuffer(budget.blocks);
    try {
      await new Promise<void>((resolve, reject) => {
        this.reject = reject;
        request.on('data', (chunk: Buffer) => this.add(chunk, body));
        request.once('end', resolve);
        request.once('error', reject);
        request.once('close', () => reject(new Error('the request is incomplete')));
        if (this.failure !== undefined) reject(this.failure);
      });
      return body.take();
    } finally {
      this.reject = undefined;
      request.removeAllListeners('data');
      body.release();
    }
  }

  /** Gives up reading, so that `read` rejects with this error; has no effect once the body is complete. */
  giveUp(error: RequestError): void {
    this.failure ??= error;
    this.reject?.(error);
  }

  private add(chunk: Buffer, body: BlockBuffer): void {
    if (this.failure !== undefined) return;
    const { limitBytes, createTooLargeError, holding } = this.options;
    if (body.length + chunk.length > limitBytes) {
      this.giveUp(createTooLargeError());
      return;
    }
    const bytes = REQUEST_BYTES + body.capacityWith(chunk.length);
    if (bytes <= holding.bytes || holding.hold(bytes)) body.push(chunk);
    else this.giveUp(createNoMemoryError());
  }
}
