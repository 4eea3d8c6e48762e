/**
 * Reads the body of one request. Reading can be given up, with the error that refuses the request; the connection
 * is left as it is then, so that the requests behind it can be read.
 */
import type { IncomingMessage } from 'node:http';
import type { RequestError } from '@poplarpick/kernel';

/** Options of a `BodyReader`. */
export interface BodyReaderOptions {
  limitBytes: number;
  /** Creates the error for a body over the limit. */
  createTooLargeError: () => RequestError;
}

/** Reads a complete body. */
export class BodyReader {
  private readonly request: IncomingMessage;
  private readonly options: BodyReaderOptions;
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private reject: ((error: Error) => void) | undefined;

  constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.request = request;
    this.options = options;
  }

  /** The complete body; undefined without one. Rejects if it is too large or incomplete, or given up. */
  async read(): Promise<Buffer | undefined> {
    const { request } = this;
    const { limitBytes, createTooLargeError } = this.options;
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared > limitBytes) throw createTooLargeError();
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
    const { limitBytes, createTooLargeError } = this.options;
    if (this.size > limitBytes) this.giveUp(createTooLargeError());
    else this.chunks.push(chunk);
  }
}
