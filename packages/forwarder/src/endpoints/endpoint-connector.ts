/** Opens TCP connections to endpoints, with a short timeout and keep-alive probes. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { SystemClock } from '@poplarpick/kernel';
import type { buildConnector } from 'undici';

const CLOCK = new SystemClock();

/** Timeout for opening a connection within a region, in ms; a lost SYN then leads to a new attempt. */
const CONNECT_TIMEOUT_MS = 450;

/**
 * Timeout where connections open late wherever they lead, in ms. A new attempt would be as late, and as long as none is
 * open, each request needs one.
 */
const LATE_CONNECT_TIMEOUT_MS = 1_500;

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
  constructor(timeoutMs: number) {
    super(`not open after ${timeoutMs} ms`);
    this.name = 'OpeningTimeoutError';
  }
}

/** What to open. */
export interface OpeningOptions extends Pick<buildConnector.Options, 'hostname' | 'port'> {
  /** Called when the connection isn't open in time: whether others don't open either, so that it gets longer. */
  isLate: () => boolean;
}

/** Opens a connection. */
export function connectEndpoint(options: OpeningOptions, callback: buildConnector.Callback): void {
  const address = `${options.hostname}:${options.port}`;
  const socket: Socket = connect({
    host: options.hostname,
    port: Number(options.port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
  });
  const giveUpAfter = (timeoutMs: number): void => {
    socket.destroy(new OpeningTimeoutError(timeoutMs));
  };
  let timer = CLOCK.afterPoll(CONNECT_TIMEOUT_MS, () => {
    if (!options.isLate()) {
      giveUpAfter(CONNECT_TIMEOUT_MS);
      return;
    }
    const leftMs = LATE_CONNECT_TIMEOUT_MS - CONNECT_TIMEOUT_MS;
    timer = CLOCK.afterPoll(leftMs, () => giveUpAfter(LATE_CONNECT_TIMEOUT_MS));
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
