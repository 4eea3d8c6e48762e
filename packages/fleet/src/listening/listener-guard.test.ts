import { expect } from 'chai';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import { createLogger, LogLevel, SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';
import type { ListenerGuard } from './listener-guard.ts';
import { ProcessListeners } from './process-listeners.ts';

const REFUSED_HEAD = 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n';
const NO_CHUNK = 'no length of a chunk\r\n';
const MAX_NEWCOMERS = 32;
const STALL_MS = 300;

/** Callers on a thread of their own: they connect at once, and send their heads when the flag is set. */
const CALLERS = `
const { connect } = require('node:net');
const { parentPort, workerData: { port, count, flag } } = require('node:worker_threads');
let open = count;
let answered = 0;
const sockets = Array.from({ length: count }, () => {
  const socket = connect(port, '127.0.0.1');
  let hasAnswer = false;
  socket.on('data', () => { hasAnswer = true; socket.destroy(); });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    if (hasAnswer) answered += 1;
    open -= 1;
    if (open === 0) parentPort.postMessage(answered);
  });
  return socket;
});
const timer = setInterval(() => {
  if (flag[0] === 0) return;
  clearInterval(timer);
  for (const socket of sockets) socket.write('GET / HTTP/1.1\\r\\nHost: h.example\\r\\n\\r\\n');
}, 5);
`;

/** A server with room for few newcomers, and callers that connect to it on another thread. */
async function openCrowdedServer(
  count: number,
  onConnection: (connections: number, flag: Int32Array, guard: ListenerGuard) => void,
): Promise<{ guard: ListenerGuard; callers: Worker; close: () => Promise<void> }> {
  const log = createLogger({ level: LogLevel.Silent });
  const clock = new SystemClock();
  const listeners = new ProcessListeners({ clock, log, budgetBytes: 10_000_000 });
  const guard = listeners.guard({
    name: 'tested',
    maxConnections: 1_000,
    maxNewcomers: MAX_NEWCOMERS,
  });
  const server = guard.createHttpServer({}, (_request, response) => void response.end('served'));
  const flag = new Int32Array(new SharedArrayBuffer(4));
  let connections = 0;
  server.on('connection', () => onConnection((connections += 1), flag, guard));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const callers = new Worker(CALLERS, { eval: true, workerData: { port, count, flag } });
  const close = async (): Promise<void> => {
    server.close();
    server.closeAllConnections();
    await callers.terminate();
  };
  return { guard, callers, close };
}

describe('a guarded HTTP server', () => {
  it('answers all callers of a burst whose heads come while the event loop stands still', async () => {
    const count = MAX_NEWCOMERS + 8;
    const { callers, close } = await openCrowdedServer(count, (connections, flag) => {
      if (connections < count) return;
      flag[0] = 1;
      blockLoop(STALL_MS);
    });
    try {
      expect(await once(callers, 'message')).to.deep.equal([count]);
    } finally {
      await close();
    }
  });

  it('closes connections over which no head comes, and never keeps many more', async () => {
    const count = 300;
    let accepted = 0;
    let most = 0;
    const { guard, close } = await openCrowdedServer(
      count,
      (connections, _flag, { connectionCount }) => {
        accepted = connections;
        most = Math.max(most, connectionCount);
      },
    );
    try {
      while (accepted < count || guard.connectionCount > MAX_NEWCOMERS)
        await new Promise((resolve) => setTimeout(resolve, 20));
      expect(most).to.be.at.most(MAX_NEWCOMERS + 96);
    } finally {
      await close();
    }
  });

  it('parses no body behind a head that it refuses', async () => {
    const log = createLogger({ level: LogLevel.Silent });
    const clock = new SystemClock();
    const listeners = new ProcessListeners({ clock, log, budgetBytes: 1_000_000 });
    const guard = listeners.guard({ name: 'tested', maxConnections: 10 });
    const server = guard.createHttpServer({}, () => expect.fail('the request is refused'));
    let parserErrors = 0;
    server.on('clientError', () => (parserErrors += 1));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    try {
      socket.write(REFUSED_HEAD + NO_CHUNK);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      expect(answer.toString()).to.match(/^HTTP\/1\.1 400 /);
      expect(parserErrors).to.equal(0);
    } finally {
      socket.destroy();
      server.close();
    }
  });
});
