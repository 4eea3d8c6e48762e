import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';

import { connectEndpoint } from './endpoint-connector.ts';

/** Longer than a connection may take to open, in ms. */
const STALL_MS = 550;

describe('connections to endpoints', () => {
  it('open though the event loop stands still until after their timeout', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    try {
      const error = await new Promise<Error | null>((resolve) => {
        connectEndpoint(
          { hostname: '127.0.0.1', port: String(port), isLate: () => false },
          (...[failure, socket]) => {
            socket?.destroy();
            resolve(failure);
          },
        );
        // The SYN leaves in the next tick.
        process.nextTick(() => blockLoop(STALL_MS));
      });
      expect(error).to.equal(null);
    } finally {
      server.close();
    }
  });
});
