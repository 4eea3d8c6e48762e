/** Networks of loopback addresses, on which processes can use the ports that hosts of their own would have. */
import { createServer } from 'node:net';

/** Last number of the address that is tested. */
const FIRST_HOST = 10;
const TEST_PORT = 8_783;

/** Finds a network that no other site uses, as the first three numbers of its addresses. Throws if none is free. */
export async function findNetwork(): Promise<string> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const number = (process.pid + attempt * 7) % 50_000;
    const network = `127.${20 + Math.floor(number / 250)}.${1 + (number % 250)}`;
    if (await isFree(`${network}.${FIRST_HOST}`)) return network;
  }
  throw new Error('no free loopback network');
}

async function isFree(host: string): Promise<boolean> {
  const server = createServer();
  return new Promise((done) => {
    server.once('error', () => done(false));
    server.listen(TEST_PORT, host, () => server.close(() => done(true)));
  });
}
