/**
 * One connection to the engine beside the sidecar, for one request. An answer with neither a length nor chunks ends
 * with its connection, so that its end has to be proven: a reset is none, although undici takes it for one, and an
 * engine whose process has ended closes its connections in order, but keeps no new one.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import { isFramed, mayHaveBody } from '../body-framing.ts';

/** Time in which an engine that lives accepts a connection, in ms. */
const ACCEPT_TIMEOUT_MS = 1_000;

/**
 * Time for which an engine that lives keeps a connection without a request, in ms. The system may close the connections
 * of a process that was killed before it stops listening, and resets those that it has accepted in between.
 */
const KEEP_TIME_MS = 100;

/** Options of an `EngineConnection`. */
export interface EngineConnectionOptions {
  /** Base URL of the engine. */
  url: string;
  /** Timeout for the head of the answer, and for each further part of it, in ms. */
  partTimeoutMs: number;
}

/** Status and headers of an answer, with alternating names and values. */
export interface EngineAnswerHead {
  method: string;
  status: number;
  headers: readonly string[];
}

/** Sends one request, and proves the end of its answer. */
export class EngineConnection {
  /** The HTTP client of the connection. */
  readonly client: Client;
  private readonly url: URL;
  private wasReset = false;

  constructor({ url, partTimeoutMs }: EngineConnectionOptions) {
    this.url = new URL(url);
    const open = buildConnector({});
    this.client = new Client(this.url.origin, {
      pipelining: 0,
      headersTimeout: partTimeoutMs,
      bodyTimeout: partTimeoutMs,
      connect: (options, callback) => {
        open(options, (...result) => {
          // undici destroys the socket after an answer as well, with an error of its own.
          result[1]?.on('error', (error) => {
            this.wasReset ||= 'syscall' in error;
          });
          callback(...result);
        });
      },
    });
  }

  /** Rejects unless an answer whose body has ended is known to be whole. */
  async requireEnd({ method, status, headers }: EngineAnswerHead): Promise<void> {
    const contentLength = joinValues(headers, 'content-length');
    const transferEncoding = joinValues(headers, 'transfer-encoding');
    if (!mayHaveBody(method, status) || isFramed({ contentLength, transferEncoding })) return;
    if (this.wasReset)
      throw new Error('the connection was reset within an answer without a length');
    if (!(await this.keepsConnections()))
      throw new Error('the engine has ended after an answer without a length');
  }

  async destroy(): Promise<void> {
    await this.client.destroy();
  }

  private async keepsConnections(): Promise<boolean> {
    const { hostname, port } = this.url;
    const host = hostname.replace(/^\[|\]$/g, '');
    const socket = connect({ host, port: Number(port === '' ? '80' : port) });
    const isKept = await waitUntilKept(socket);
    socket.destroy();
    return isKept;
  }
}

/** The values of a header, joined by commas; undefined without one. `name` is in lowercase. */
function joinValues(headers: readonly string[], name: string): string | undefined {
  const isValue = (index: number): boolean =>
    index % 2 === 1 && headers[index - 1]?.toLowerCase() === name;
  const values = headers.filter((_, index) => isValue(index));
  return values.length === 0 ? undefined : values.join(',');
}

/** Resolves to whether a connection is accepted and kept. */
function waitUntilKept(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.setTimeout(ACCEPT_TIMEOUT_MS, () => resolve(false));
    socket.on('connect', () => setTimeout(() => resolve(true), KEEP_TIME_MS));
    socket.on('error', () => resolve(false));
    socket.on('close', () => resolve(false));
    socket.resume();
  });
}
