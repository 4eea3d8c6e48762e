/**
 * Writes the response to one caller: an endpoint's response unchanged, or an error of the router. If a
 * response can't be completed, its connection is closed, so that it never looks complete.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { breakOff } from '@poplarpick/fleet/break-off';
import { endAfterRest } from '@poplarpick/fleet/end-after-rest';
import type { RequestError } from '@poplarpick/kernel';

/** Writes one response. */
export class ResponseWriter {
  private readonly response: ServerResponse;
  private readonly shouldCloseConnection: () => boolean;

  /** `shouldCloseConnection` tells whether the connection is closed after this response. */
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

  /** Writes bytes of a stream; false when the buffer is full and writing should pause until `onceDrained`. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Calls `action` once the buffer has drained. */
  onceDrained(action: () => void): void {
    this.response.once('drain', action);
  }

  end(): void {
    this.response.end();
  }

  /** Writes a complete response of an endpoint. */
  send(status: number, headers: readonly string[], body: Buffer): void {
    if (this.isEnded) return;
    const length = ['Content-Length', String(body.length)];
    this.response.writeHead(status, this.withConnection([...headers, ...length]));
    this.response.end(body);
  }

  /**
   * Writes an error of the router. If that closes the connection of a request that isn't whole, its caller gets time
   * to send the rest and read the error.
   */
  sendError(error: RequestError, request?: IncomingMessage): void {
    if (this.isEnded) return;
    const body = Buffer.from(
      JSON.stringify({ error: { code: error.code, message: error.message } }),
    );
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (error.retryAfterSeconds !== undefined) {
      headers.push('Retry-After', error.retryAfterSeconds.toFixed(2));
    }
    this.response.writeHead(error.status, this.withConnection(headers));
    if (request === undefined || request.complete || !this.shouldCloseConnection()) {
      this.response.end(body);
      return;
    }
    this.response.write(body);
    endAfterRest(request, this.response);
  }

  /** Closes the connection, so that the caller sees that the response is incomplete. */
  abort(): void {
    breakOff(this.response);
  }

  private withConnection(headers: readonly string[]): string[] {
    return this.shouldCloseConnection() ? [...headers, 'Connection', 'close'] : [...headers];
  }
}
