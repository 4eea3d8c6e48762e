/** Opens TCP connections to endpoints, and gives up soon on one that doesn't answer. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { buildConnector } from 'undici';

/** Longest time to open a connection inside a region, in ms; a lost opening packet is tried anew. */
const CONNECT_TIMEOUT_MS = 450;

/** Idle time after which the kernel probes a connection, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** A connection that could not be opened. */
export class ConnectError extends Error {
  readonly code = 'CONNECT_FAILED';

  constructor(address: string, cause: unknown) {
    super(`no connection to ${address}: ${cause instanceof Error ? cause.message : String(cause)}`);
    this.name = 'ConnectError';
  }
}

/** Connects for undici. */
export function connectEndpoint(
  options: buildConnector.Options,
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
    socket.destroy(new Error(`not open after ${CONNECT_TIMEOUT_MS} ms`));
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
