import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { createServer as createSocketServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { EndpointKind } from '@poplarpick/decisions';
import { ErrorCode, Verdict } from '@poplarpick/kernel';
import type { RequestError } from '@poplarpick/kernel';
import type { Job } from '../messages.ts';
import { ModelEngineClient } from './model-engine-client.ts';

const JOB: Job = {
  kind: EndpointKind.Model,
  pool: 'assistant',
  workspace: 'spa',
  method: 'POST',
  path: '/v1/chat/completions',
  headers: [],
  body: Buffer.from('{}'),
  repeatable: true,
};

/** Time after which the connections of a request that has ended are idle, in ms. */
const IDLE_MS = 100;

describe('ModelEngineClient', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  /** Runs a request at an engine that answers with the given listener. */
  async function runAt(listener: RequestListener): Promise<RequestError | undefined> {
    server = createServer(listener);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    return run(port);
  }

  async function run(port: number): Promise<RequestError | undefined> {
    const client = new ModelEngineClient({ baseUrl: `http://127.0.0.1:${port}` });
    const error = await runWith(client);
    await client.close();
    return error;
  }

  function runWith(client: ModelEngineClient): Promise<RequestError | undefined> {
    return new Promise((resolve) => {
      const listener = {
        onFrame: () => undefined,
        onEnd: () => resolve(undefined),
        onFailure: resolve,
      };
      client.run('request', JOB, listener);
    });
  }

  it('fails on an event that is not JSON', async () => {
    const error = await runAt((_request, response) => response.end('data: {"choices"\n\n'));
    expect(error).to.include({ code: ErrorCode.EndpointFailed, verdict: Verdict.MayHaveRun });
  });

  it('fails on an event that never ends, without buffering all of it', async () => {
    let sent = 0;
    const error = await runAt((request, response) => {
      if (request.method !== 'POST') {
        response.writeHead(404).end();
        return;
      }
      const part = Buffer.alloc(64 * 1024, 'x');
      const write = (): void => {
        sent += part.length;
        if (!response.destroyed && sent < 1e8) response.write(part, () => setImmediate(write));
      };
      response.write('data: ');
      write();
    });
    expect(error).to.include({ code: ErrorCode.EndpointFailed, verdict: Verdict.MayHaveRun });
    expect(sent).to.be.below(1e8);
  });

  it('fails on a refusal whose text never ends, without buffering all of it', async () => {
    let sent = 0;
    const error = await runAt((_request, response) => {
      const part = Buffer.alloc(64 * 1024, 'x');
      const write = (): void => {
        sent += part.length;
        if (response.destroyed) return;
        if (sent < 1e8) response.write(part, () => setImmediate(write));
        else response.end();
      };
      response.writeHead(429);
      write();
    });
    expect(error).to.include({ code: ErrorCode.InvalidRequest, verdict: Verdict.NotRun });
    expect(sent).to.be.below(1e8);
  });

  it('never treats a stream without its end mark as a complete answer', async () => {
    const error = await runAt((request, response) => {
      if (request.method === 'POST') response.end('data: {"choices":[]}\n\n');
      else response.writeHead(404).end();
    });
    expect(error).to.include({ code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran });
  });

  // Shows that a stream can't be joined from two versions here: an engine that has started anew doesn't know it.
  it('fails a stream that the engine has lost by a restart, and never begins it anew', async () => {
    const targets: string[] = [];
    const error = await runAt((request, response) => {
      targets.push(`${request.method} ${request.url}`);
      if (request.method !== 'POST') {
        response.writeHead(404).end();
        return;
      }
      response.write('data: {"choices":[]}\n\n', () =>
        setTimeout(() => request.socket.destroy(), 20),
      );
    });
    expect(error).to.include({ code: ErrorCode.IncompleteAnswer, verdict: Verdict.Ran });
    expect(targets.slice(0, 2)).to.deep.equal([
      'POST /v1/chat/completions',
      'GET /v1/streams/request?from=0',
    ]);
    expect(targets.filter((target) => target.startsWith('POST'))).to.have.length(1);
  });

  it('distinguishes a refusal from a failure of the engine', async () => {
    const refused = await runAt((_request, response) => response.writeHead(400).end('no'));
    expect(refused).to.include({ code: ErrorCode.InvalidRequest, verdict: Verdict.NotRun });
    server?.close();
    const failed = await runAt((_request, response) => response.writeHead(500).end('no'));
    expect(failed).to.include({ code: ErrorCode.EndpointFailed, verdict: Verdict.MayHaveRun });
  });

  // Guards against callers that are told "not run" for a request that the engine runs, and against a second run of it.
  it('takes no answer that the engine repeats on a kept connection for that of another request', async () => {
    let isFirst = true;
    const refusal = 'HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n';
    const engine = createSocketServer((socket) => {
      socket.on('error', () => undefined);
      let hasRefused = false;
      socket.on('data', (bytes) => {
        const isRun = bytes.toString('latin1').startsWith('POST ');
        if (!isRun) socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
        else if (isFirst || hasRefused) socket.write(refusal);
        else socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata: [DONE]\n\n');
        hasRefused ||= isRun && isFirst;
        if (isRun) isFirst = false;
      });
    });
    engine.listen(0, '127.0.0.1');
    await once(engine, 'listening');
    const { port } = engine.address() as AddressInfo;
    const client = new ModelEngineClient({ baseUrl: `http://127.0.0.1:${port}` });
    const refused = await runWith(client);
    await new Promise((resolve) => setTimeout(resolve, IDLE_MS));
    const answered = await runWith(client);
    await client.close();
    engine.close();
    expect(refused).to.include({ verdict: Verdict.NotRun });
    expect(answered).to.equal(undefined);
  });

  it('reports not-run if no connection was made', async () => {
    await runAt((_request, response) => response.writeHead(400).end('no'));
    const { port } = server?.address() as AddressInfo;
    server?.closeAllConnections();
    await new Promise((resolve) => server?.close(resolve));
    expect(await run(port)).to.include({ verdict: Verdict.NotRun });
  });
});
