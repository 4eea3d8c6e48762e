/** Reads the body of one request. Reading can be given up, with the error that refuses the request. */
import type { IncomingMessage } from 'node:http';
import { ErrorCode, RequestError, Verdict } from '@poplarpick/kernel';

/** Reads a complete body. */
export class BodyReader {
  private readonly request: IncomingMessage;
  private readonly limitBytes: number;
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private reject: ((error: Error) => void) | undefined;

  constructor(request: IncomingMessage, limitBytes: number) {
    this.request = request;
    this.limitBytes = limitBytes;
  }

  /** The complete body; undefined without one. Rejects if it is too large or incomplete, or given up. */
  async read(): Promise<Buffer | undefined> {
    const { request, limitBytes } = this;
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared > limitBytes) throw createBodyTooLargeError();
    if (declared === 0 && request.headers['transfer-encoding'] === undefined) return undefined;
    try {
      await new Promise<void>((resolve, reject) => {
        this.reject = reject;
        request.on('data', (chunk: Buffer) => this.add(chunk));
        request.once('end', resolve);
        request.once('error', reject);
        request.once('close', () => reject(new Error('the request is incomplete')));
      });
    } finally {
      this.reject = undefined;
      request.removeAllListeners('data');
    }
    return Buffer.concat(this.chunks, this.size);
  }

  /** Gives up reading, so that `read` rejects with this error; has no effect once the body is complete. */
  giveUp(error: RequestError): void {
    this.reject?.(error);
  }

  private add(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size > this.limitBytes) this.giveUp(createBodyTooLargeError());
    else this.chunks.push(chunk);
  }
}

function createBodyTooLargeError(): RequestError {
  return new RequestError('the body is too large', {
    code: ErrorCode.BodyTooLarge,
    verdict: Verdict.NotRun,
  });
}
