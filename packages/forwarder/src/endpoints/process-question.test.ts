import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { SystemClock } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';

import { EndpointConnection } from './endpoint-connection.ts';
import { ProcessQuestion } from './process-question.ts';
import type { ProcessAnswer } from './process-question.ts';
import { LateAnswer } from './testing-late-answer.ts';

const STARTED_AT = 5;
const MAX_WAIT_MS = 900;
/** Longer than the answer may take, in ms. */
const STALL_MS = 700;
const MAX_BYTES = 16_777_216;
const FILLER = 'x'.repeat(65_536);
const QUESTION = { method: 'GET', target: '/process', headers: [] };
const HEAD = 'HTTP/1.1 200 OK\r\n';

/** What the process sends, and whether it repeats that without end, ends then, or stays silent. */
type Play = [bytes: string, then: 'repeat' | 'end' | 'reset' | 'wait'];

const PLAYS: Record<string, [play: Play, expected: ProcessAnswer | undefined]> = {
  'a whole answer': [[`${HEAD}Content-Length: 1\r\n\r\n5`, 'wait'], { startedAt: STARTED_AT }],
  'an answer that ends with its connection': [[`${HEAD}\r\n5`, 'end'], { startedAt: STARTED_AT }],
  'an answer that names no start': [
    ['HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n', 'wait'],
    { startedAt: undefined },
  ],
  nothing: [['', 'wait'], undefined],
  'nothing but the end': [['', 'end'], undefined],
  'a reset': [['', 'reset'], undefined],
  'half an answer': [[`${HEAD}Content-Length: 9\r\n\r\n5`, 'end'], undefined],
  'a body without end': [[`${HEAD}\r\n${FILLER}`, 'repeat'], undefined],
  'a head without end': [[`${HEAD}Name: ${FILLER}`, 'repeat'], undefined],
};

/** Asks the process behind a connection. */
function ask(connection: EndpointConnection): Promise<ProcessAnswer | Error> {
  return new Promise((resolve) => {
    const question = new ProcessQuestion({
      protocol: { decodeProcessStart: (body) => Number(body.toString()) || undefined },
      onProgress: () => connection.recordProgress(),
      onResult: resolve,
    });
    connection.dispatch(QUESTION, question);
  });
}

describe('the question when a process started', () => {
  let server: Server;
  let connection: EndpointConnection;
  let sentBytes: number;
  let play: Play;

  beforeEach(async () => {
    sentBytes = 0;
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    connection = new EndpointConnection({ address: `127.0.0.1:${port}`, clock: new SystemClock() });
  });

  afterEach(() => {
    connection.destroy();
    server.close();
  });

  function answer(socket: Socket): void {
    const [bytes, then] = play;
    if (then === 'reset') socket.resetAndDestroy();
    else if (then === 'end') socket.end(bytes);
    else socket.write(bytes);
    if (then === 'repeat') repeat(socket);
  }

  function repeat(socket: Socket): void {
    if (socket.destroyed) return;
    sentBytes += FILLER.length;
    socket.write(FILLER, () => setImmediate(() => repeat(socket)));
  }

  it('has the answer that lies in the socket after a stall', async () => {
    const endpoint = await LateAnswer.open();
    const { address } = endpoint;
    const behind = new EndpointConnection({ address, clock: new SystemClock() });
    try {
      const result = ask(behind);
      await endpoint.awaitHead();
      blockLoop(STALL_MS);
      expect(await result).to.deep.equal({ startedAt: STARTED_AT });
    } finally {
      behind.destroy();
      await endpoint.close();
    }
  });

  for (const [name, [given, expected]] of Object.entries(PLAYS)) {
    it(`${expected === undefined ? 'has no answer' : 'is answered'} after ${name}`, async () => {
      play = given;
      const startedAt = performance.now();
      const result = await ask(connection);
      expect(performance.now() - startedAt).to.be.lessThan(MAX_WAIT_MS);
      expect(sentBytes).to.be.lessThan(MAX_BYTES);
      if (expected === undefined) expect(result).to.be.instanceOf(Error);
      else expect(result).to.deep.equal(expected);
    });
  }
});
