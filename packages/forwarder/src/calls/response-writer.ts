/**
 * Writes the answer to one caller: an endpoint's answer as it came, or a refusal of our own. An answer
 * that can't be finished is cut off with its connection, so that it never looks complete.
 */
import type { ServerResponse } from 'node:http';
import type { RequestError } from '@poplarpick/kernel';

/** Writes one answer. */
export class ResponseWriter {
  private readonly response: ServerResponse;
  private readonly shouldCloseConnection: () => boolean;

  /** `isLast` tells whether the connection is to be closed after this answer. */
  constructor(response: ServerResponse, shouldCloseConnection: () => boolean) {
    this.response = response;
    this.shouldCloseConnection = shouldCloseConnection;
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get isEnded(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Writes the head of a stream. */
  writeHead(status: number, headers: readonly string[]): void {
    this.response.writeHead(status, this.withConnection(headers));
  }

  /** Writes bytes of a stream; false when the caller doesn't keep up. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls `action` when the caller has caught up. */
  onceDrained(action: () => void): void {
    this.response.once('drain', action);
  }

  end(): void {
    this.response.end();
  }

  /** Writes a whole answer of an endpoint. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    if (this.isEnded) return;
    const length = ['Content-Length', String(body.length)];
    this.response.writeHead(status, this.withConnection([...headers, ...length]));
    this.response.end(body);
  }

  /** Answers with a failure of our own. */
  sendError(error: RequestError): void {
    if (this.isEnded) return;
    const body = Buffer.from(
      JSON.stringify({ error: { code: error.code, message: error.message } }),
    );
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (error.retryAfterSeconds !== undefined) {
      headers.push('Retry-After', error.retryAfterSeconds.toFixed(2));
    }
    this.response.writeHead(error.status, this.withConnection(headers));
    this.response.end(body);
  }

  /** Ends the connection, so that the caller sees that the answer is not whole. */
  abort(): void {
    this.response.destroy();
  }

  private withConnection(headers: readonly string[]): string[] {
    return this.shouldCloseConnection() ? [...headers, 'Connection', 'close'] : [...headers];
  }
}
