/** Addresses of the form `IP:port`. */
import { isIPv4 } from 'node:net';
import type { Server } from 'node:net';
import { MAX_PORT } from '@poplarpick/decisions';

/** An IP address and a port. */
export interface Address {
  ip: string;
  port: number;
}

/** Parses `IP:port`. Throws if the text has another format. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const port = Number(text.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(port)) throw new Error(`not an address: ${text}`);
  return { ip: text.slice(0, separator), port };
}

/** Whether a value is an IPv4 address with a port that a client can connect to. */
export function isAddress(value: unknown): value is string {
  if (typeof value !== 'string') return false;
  const separator = value.lastIndexOf(':');
  const portText = value.slice(separator + 1);
  const port = Number(portText);
  const isPort = /^\d+$/.test(portText) && port > 0 && port <= MAX_PORT;
  return isPort && isIPv4(value.slice(0, separator));
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
