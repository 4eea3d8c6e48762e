import { Worker } from 'node:worker_threads';
import { expect } from 'chai';
import { ProcessListeners } from '@poplarpick/fleet/listening/process-listeners';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import { CallerListener } from './caller-listener.ts';

const CONNECTIONS = 200;
const ITERATION_MS = 5;
const CONNECT_TIME_MS = 1_000;
const TIMEOUT_MS = 10_000;

/** Opens connections from another thread, so that they wait while the event loop of the test is busy. */
const CLIENT_SOURCE = `
  const net = require('node:net');
  for (let index = 0; index < ${CONNECTIONS}; index += 1) {
    net.connect(PORT, '127.0.0.1').on('error', () => undefined);
  }
`;

describe('a listener for callers', () => {
  it('accepts waiting connections in few iterations of a busy event loop', async () => {
    const log = createLogger({ level: LogLevel.Silent });
    const listeners = new ProcessListeners({ clock: new SystemClock(), log, budgetBytes: 1e6 });
    const guard = listeners.guard({ name: 'callers', maxConnections: CONNECTIONS });
    const server = guard.createHttpServer({}, () => undefined);
    const listener = new CallerListener({ address: '127.0.0.1:0', server, guard, log });
    await listener.open();
    const { port } = server.address() as { port: number };
    let accepted = 0;
    server.on('connection', () => (accepted += 1));
    const client = new Worker(CLIENT_SOURCE.replace('PORT', String(port)), { eval: true });
    blockLoop(CONNECT_TIME_MS);
    let iterations = 0;
    const endsAt = performance.now() + TIMEOUT_MS;
    while (accepted < CONNECTIONS && performance.now() < endsAt) {
      await new Promise(setImmediate);
      iterations += 1;
      blockLoop(ITERATION_MS);
    }
    listener.close();
    server.closeAllConnections();
    await client.terminate();
    expect(accepted).to.equal(CONNECTIONS);
    expect(iterations).to.be.lessThan(CONNECTIONS / 4);
  });
});
