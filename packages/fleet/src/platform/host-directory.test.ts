import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createLogger, Role, SystemClock } from '@poplarpick/kernel';
import { HostDirectory } from './host-directory.ts';

const DEPTH = 200_000;

/** Time in which a change of the list is read, in ms: several polling periods. */
const READ_TIMEOUT_MS = 5_000;

function describeHost(id: string, fields: Record<string, unknown> = {}): unknown {
  return {
    id,
    role: Role.Router,
    dataCentre: 'z',
    address: '10.0.0.1:80',
    state: 'live',
    ...fields,
  };
}

describe('the directory of hosts', () => {
  let server: Server;
  let list: string;
  let directory: HostDirectory;
  let logLines: string[];

  beforeEach(async () => {
    logLines = [];
    server = createServer((_request, response) => response.end(list));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    directory = new HostDirectory({
      url: `http://127.0.0.1:${port}`,
      clock: new SystemClock(),
      log: createLogger({ write: (line) => logLines.push(line) }),
    });
  });

  afterEach(() => {
    directory.stop();
    server.closeAllConnections();
    server.close();
  });

  /** Resolves with the ids of the hosts when they have changed. */
  function nextChange(): Promise<string[]> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error('no change was read')), READ_TIMEOUT_MS);
      directory.onChange((hosts) => {
        clearTimeout(timer);
        resolve(hosts.map(({ id }) => id));
      });
    });
  }

  // Guards against a fleet that stops to follow the list of hosts by one odd entry.
  for (const [name, odd] of [
    ['a port out of range', JSON.stringify(describeHost('odd', { address: '10.0.0.1:99999' }))],
    ['a port that is none', JSON.stringify(describeHost('odd', { address: '10.0.0.1:' }))],
    ['an unknown role', JSON.stringify(describeHost('odd', { role: 'other' }))],
    ['an unknown state', JSON.stringify(describeHost('odd', { state: 'odd' }))],
    ['no id', JSON.stringify(describeHost('odd', { id: undefined }))],
    ['a number too large', JSON.stringify(describeHost('odd', { id: 1e300 }))],
    ['nothing', 'null'],
    ['a deep nest', '['.repeat(DEPTH) + ']'.repeat(DEPTH)],
  ] as const) {
    it(`follows the list beside an entry with ${name}`, async () => {
      list = `{"hosts":[${JSON.stringify(describeHost('a'))},${odd}]}`;
      const first = nextChange();
      directory.start();
      expect(await first).to.deep.equal(['a']);
      expect(
        logLines.filter((line) => line.includes('host_list.unreadable_entries')),
      ).to.have.length(1);
    });
  }

  it('goes on to follow the list when such an entry comes later', async () => {
    list = JSON.stringify({ hosts: [describeHost('a')] });
    const first = nextChange();
    directory.start();
    expect(await first).to.deep.equal(['a']);
    const odd = describeHost('odd', { address: '10.0.0.1:99999' });
    list = JSON.stringify({ hosts: [describeHost('a'), odd, describeHost('b')] });
    const changes: string[][] = [];
    directory.onChange((hosts) => changes.push(hosts.map(({ id }) => id)));
    await new Promise((resolve) => setTimeout(resolve, READ_TIMEOUT_MS / 2));
    expect(changes.at(-1)).to.deep.equal(['a', 'b']);
  });
});
