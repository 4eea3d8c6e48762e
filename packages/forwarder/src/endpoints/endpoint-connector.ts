/** Opens TCP connections to endpoints, with a short timeout and keep-alive probes. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { SystemClock } from '@poplarpick/kernel';
import type { buildConnector } from 'undici';

const CLOCK = new SystemClock();

/** Timeout for opening a connection within a region, in ms; a lost SYN then leads to a new attempt. */
const CONNECT_TIMEOUT_MS = 450;

/** Idle time after which the kernel sends TCP keep-alive probes, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Thrown when a connection can't be opened. */
export class ConnectError extends Error {
  readonly code = 'CONNECT_FAILED';

  constructor(address: string, cause: unknown) {
    super(`no connection to ${address}: ${cause instanceof Error ? cause.message : String(cause)}`);
    this.name = 'ConnectError';
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
  const timer = CLOCK.afterPoll(CONNECT_TIMEOUT_MS, () => {
    socket.destroy(new Error(`not open after ${CONNECT_TIMEOUT_MS} ms`));
  });
  const fail = (error: Error): void => {
    timer.stop();
    callback(new ConnectError(address, error), null);
  };
  socket.once('error', fail);
  socket.once('connect', () => {
    timer.stop();
    socket.off('error', fail);
    callback(null, socket);
  });
}
