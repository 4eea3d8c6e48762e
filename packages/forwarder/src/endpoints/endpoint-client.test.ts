import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { expect } from 'chai';
import { Verdict } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import { blockLoop } from '@poplarpick/kernel/testing/block-loop';

import { CallProtocol } from '../calls/call-protocol.ts';
import type { CallHead, ProcessQuestionHead, ResponseHead } from '../calls/call-protocol.ts';
import { EndpointClient } from './endpoint-client.ts';
import { ResponseObserver } from './endpoint-request.ts';
import { LateAnswer } from './testing-late-answer.ts';

const REQUEST_ID = 'id';
/** Longer than a connection to a replaced process may be without a byte, in ms. */
const STALL_MS = 400;
const ROUNDS = 20;
/** Delay before a reset, so that the bytes already written are sent. */
const RESET_DELAY_MS = 20;

/** Takes the framing from the headers; every response belongs to its request. */
class FramingProtocol extends CallProtocol {
  override decodeCall(): CallHead {
    throw new Error('not needed here');
  }

  override decodeRequestId(): undefined {
    return undefined;
  }

  override encodeRequestId(): string[] {
    return [];
  }

  override encodeAttempt(): string[] {
    return [];
  }

  override encodeProcessQuestion(): ProcessQuestionHead {
    return { method: 'GET', target: '/process', headers: [] };
  }

  override decodeProcessStart(): undefined {
    return undefined;
  }

  override decodeResponse(status: number, rawHeaders: readonly string[]): ResponseHead {
    return {
      status,
      requestId: REQUEST_ID,
      isNotRun: false,
      promisesNotRun: false,
      isSealed: true,
      isDraining: false,
      pause: undefined,
      limit: undefined,
      isMisdirected: false,
      isEventStream: false,
      isFramed: rawHeaders.includes('Content-Length'),
      forwardedHeaders: [],
    };
  }
}

/** Calls `onResult` with the body or the failure as soon as there is one. */
class ResultObserver extends ResponseObserver {
  private body = '';
  private readonly onResult: (result: string | RequestError) => void;

  constructor(onResult: (result: string | RequestError) => void) {
    super();
    this.onResult = onResult;
  }

  override onWritten(): void {
    this.body = '';
  }

  override onForeignHead(): void {
    this.body = '';
  }

  override onHead(): void {
    this.body = '';
  }

  override onBytes(chunk: Buffer): boolean {
    this.body += chunk.toString('latin1');
    return true;
  }

  override onEnd(): void {
    this.onResult(this.body);
  }

  override onFailure(error: RequestError): void {
    this.onResult(error);
  }
}

describe('an endpoint client', () => {
  let server: Server;
  let client: EndpointClient;
  let answer: (socket: Socket, target: string) => void;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => answer(socket, bytes.toString('latin1').split(' ')[1] ?? ''));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    client = new EndpointClient({
      address: `127.0.0.1:${port}`,
      connectionLimit: 4,
      protocol: new FramingProtocol(),
    });
  });

  afterEach(() => {
    client.destroy();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    server.close();
  });

  function send(target: string, onResult: (result: string | RequestError) => void): void {
    const request = { method: 'GET', target, requestId: REQUEST_ID, headers: [], body: undefined };
    client.send(request, new ResultObserver(onResult));
  }

  function answerWhole(socket: Socket): void {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
  }

  for (const [name, end] of [
    ['ended', (socket: Socket) => socket.end()],
    ['reset', (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS)],
  ] as const) {
    for (const connection of ['', 'Connection: close\r\n', 'Connection: keep-alive\r\n']) {
      it(`loses no request sent at the end of an unframed answer that is ${name} (${connection.trim()})`, async () => {
        answer = (socket, target) => {
          if (target === '/whole') answerWhole(socket);
          else socket.write(`HTTP/1.1 200 OK\r\n${connection}\r\nbody`, () => end(socket));
        };
        for (let round = 0; round < ROUNDS; round += 1) {
          const result = await new Promise<string | RequestError>((resolve) => {
            send('/unframed', () => send('/whole', resolve));
          });
          expect(result).to.equal('whole');
        }
      });
    }
  }

  // Guards against routers that ended by themselves when they sent a stream once more to an unreadable address.
  for (const address of ['127.0.0.300:8080', '127.0.0.1:99999', 'nowhere']) {
    it(`fails a request to the address ${address} as not run, and throws nothing`, async () => {
      const unreadable = new EndpointClient({
        address,
        connectionLimit: 4,
        protocol: new FramingProtocol(),
      });
      const request = {
        method: 'GET',
        target: '/a',
        requestId: REQUEST_ID,
        headers: [],
        body: undefined,
      };
      const result = await new Promise<string | RequestError>((resolve) => {
        unreadable.send(request, new ResultObserver(resolve));
      });
      expect(result).to.have.property('verdict', Verdict.NotRun);
      unreadable.destroy();
    });
  }

  it('keeps a connection to a replaced endpoint whose bytes lie in the socket after a stall', async () => {
    const endpoint = await LateAnswer.open();
    const { address } = endpoint;
    const protocol = new FramingProtocol();
    const replaced = new EndpointClient({ address, connectionLimit: 1, protocol });
    const request = { method: 'GET', target: '/', requestId: REQUEST_ID, headers: [] };
    try {
      const result = new Promise<string | RequestError>((resolve) => {
        replaced.send({ ...request, body: undefined }, new ResultObserver(resolve));
      });
      await endpoint.awaitHead();
      expect(replaced.retire(0).doubtful).to.equal(1);
      blockLoop(STALL_MS);
      expect(await result).to.equal('5');
    } finally {
      replaced.destroy();
      await endpoint.close();
    }
  });

  it('says of a request whose connection is still being opened that it has not run', () => {
    answer = answerWhole;
    const results: (string | RequestError)[] = [];
    send('/a', (result) => results.push(result));
    client.destroy();
    return new Promise<void>((resolve) => setTimeout(resolve, RESET_DELAY_MS)).then(() => {
      expect(results).to.have.length(1);
      expect(results[0]).to.have.property('verdict', Verdict.NotRun);
    });
  });
});
