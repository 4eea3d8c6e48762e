import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import { SystemClock } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import { ApplicationClient } from './application-client.ts';
import type { EndpointClient } from './endpoint-client.ts';
import { ModelEngineClient } from './model-engine-client.ts';

/** A body that doesn't fit into the buffers of a connection whose other side doesn't read. */
const UPLOAD = Buffer.alloc(3_500_000, 'u');
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';
const RESET_DELAYS_MS = [0, 5, 60, 400];

/** Answers with neither a length nor chunks, of which a part is sent. */
const PARTS = {
  plain: `${HEAD}\r\nthe first half of`,
  'with Connection: close': `${HEAD}Connection: close\r\n\r\nthe first half of`,
};

/** Statuses that no answer has. */
const STATUSES = ['000', '001', '099'];

describe('an engine that answers an upload to its sidecar at once', () => {
  const sockets = new Set<Socket>();
  let server: Server;
  let answer: string;
  let resetAfterMs: number;

  beforeEach(async () => {
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.pause();
        socket.write(answer);
        setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await new Promise((resolve) => server.close(resolve));
  });

  /** Runs a request; resolves to its failure, or to undefined if its answer counts as whole. */
  async function run(kind: EndpointKind, body: Buffer): Promise<RequestError | undefined> {
    const { port } = server.address() as AddressInfo;
    const options = { baseUrl: `http://127.0.0.1:${port}`, clock: new SystemClock() };
    const client: EndpointClient =
      kind === EndpointKind.Model ? new ModelEngineClient(options) : new ApplicationClient(options);
    const job = { kind, pool: 'p', workspace: 'w', method: 'POST', path: '/v1/chat/completions' };
    const failure = await new Promise<RequestError | undefined>((resolve) => {
      client.run(
        'request',
        { ...job, headers: [], body, repeatable: true },
        {
          onFrame: () => undefined,
          onEnd: () => resolve(undefined),
          onFailure: resolve,
        },
      );
    });
    await client.close();
    return failure;
  }

  for (const kind of Object.values(EndpointKind)) {
    for (const [name, text] of Object.entries(PARTS)) {
      // Guards against a part of an answer that its caller takes for a whole one.
      it(`and resets the connection has not answered: ${kind}, ${name}`, async () => {
        answer = text;
        for (const delayMs of RESET_DELAYS_MS) {
          resetAfterMs = delayMs;
          expect(await run(kind, UPLOAD), `${delayMs} ms`).to.be.instanceOf(Error);
        }
      });
    }

    for (const status of STATUSES) {
      // Guards against bytes that are no answer and get to the caller as one.
      it(`with status ${status} has not answered: ${kind}`, async () => {
        answer = `HTTP/1.1 ${status} Text\r\nContent-Length: 4\r\n\r\nbody`;
        resetAfterMs = 500;
        expect(await run(kind, Buffer.from('{}'))).to.be.instanceOf(Error);
      });
    }
  }
});
