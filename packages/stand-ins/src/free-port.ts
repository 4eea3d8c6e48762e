/**
 * Finds ports for processes that must be given theirs before they start. The ports lie below the
 * ephemeral range of the operating system, so that no outgoing connection takes one in the meantime.
 */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;
/**
 * Distance between the first ports tried by processes with consecutive process ids. A process of the tests uses
 * hundreds of ports: with a shorter distance it comes to those of the process beside it, which may have found a port free
 * that it has not bound yet.
 */
const PROCESS_OFFSET = 1_999;

let nextOffset = (process.pid * PROCESS_OFFSET) % PORT_COUNT;

/**
 * Returns a port that is free for TCP and UDP. Other calls in this process get other ports until the
 * range wraps around. Throws if no port of the range is free.
 */
export async function findFreePort(ip = '127.0.0.1'): Promise<number> {
  for (let attempts = 0; attempts < PORT_COUNT; attempts += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if ((await isFreeForTcp(port, ip)) && (await isFreeForUdp(port, ip))) return port;
  }
  throw new Error('no free port found');
}

async function isFreeForTcp(port: number, ip: string): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

async function isFreeForUdp(port: number, ip: string): Promise<boolean> {
  const socket = createSocket('udp4');
  return new Promise((resolve) => {
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, ip, () => socket.close(() => resolve(true)));
  });
}
