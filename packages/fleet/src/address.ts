/** Addresses of the form `IP:port`. */
import { isIPv4 } from 'node:net';
import type { Server } from 'node:net';
import { MAX_PORT } from '@poplarpick/decisions';

/** An IP address and a port. */
export interface Address {
  ip: string;
  port: number;
}

/** Parses `IP:port`. Throws if the text has another format, or if no socket can have such a port. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const port = Number(text.slice(separator + 1));
  const isPort = Number.isInteger(port) && port >= 0 && port <= MAX_PORT;
  if (separator <= 0 || !isPort) throw new Error(`not an address: ${text}`);
  return { ip: text.slice(0, separator), port };
}

/** Whether a text is an address with a port that a client can connect to; its host may also be a name. */
export function isDialable(text: string): boolean {
  return /^[^\s:]+:\d+$/.test(text) && isClientPort(text.slice(text.lastIndexOf(':') + 1));
}

/** Whether a value is an IPv4 address with a port that a client can connect to. */
export function isAddress(value: unknown): value is string {
  if (typeof value !== 'string') return false;
  const separator = value.lastIndexOf(':');
  return isClientPort(value.slice(separator + 1)) && isIPv4(value.slice(0, separator));
}

function isClientPort(text: string): boolean {
  const port = Number(text);
  return /^\d+$/.test(text) && port > 0 && port <= MAX_PORT;
}

/** Makes a server listen on `IP:port`. Rejects if the address cannot be bound. */
export async function listenOn(server: Server, address: string): Promise<void> {
  const { ip, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
