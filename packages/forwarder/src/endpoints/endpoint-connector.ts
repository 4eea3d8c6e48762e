/** Opens TCP connections to endpoints, with a short timeout and keep-alive probes. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Timeout for opening a connection within a region, in ms; a lost SYN then leads to a new attempt. */
const CONNECT_TIMEOUT_MS = 450;

/** Idle time after which the kernel sends TCP keep-alive probes, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Thrown when a connection can't be opened. */
export class ConnectError extends Error {
  readonly code = 'CONNECT_FAILED';
  /** The connection wasn't open in time. */
  readonly isTimeout: boolean;

  constructor(address: string, cause: unknown) {
    super(`no connection to ${address}: ${cause instanceof Error ? cause.message : String(cause)}`);
    this.name = 'ConnectError';
    this.isTimeout = cause instanceof OpeningTimeoutError;
  }
}

/** A connection wasn't open in time. */
class OpeningTimeoutError extends Error {
  constructor() {
    super(`not open after ${CONNECT_TIMEOUT_MS} ms`);
    this.name = 'OpeningTimeoutError';
  }
}

/** Opens a connection; implements undici's connector interface. */
export function connectEndpoint(
  options: Pick<buildConnector.Options, 'hostname' | 'port'>,
  callback: buildConnector.Callback,
): void {
  const address = `${options.hostname}:${options.port}`;
  const socket: Socket = connect({
    host: options.hostname,
    port: Number(options.port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
  });
  const timer = setTimeout(() => {
    socket.destroy(new OpeningTimeoutError());
  }, CONNECT_TIMEOUT_MS);
  const fail = (error: Error): void => {
    clearTimeout(timer);
    callback(new ConnectError(address, error), null);
  };
  socket.once('error', fail);
  socket.once('connect', () => {
    clearTimeout(timer);
    socket.off('error', fail);
    callback(null, socket);
  });
}
